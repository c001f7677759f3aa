"""The gRPC service at which other entries claim requests, and their sessions with it."""

from grpclib.server import Stream

from comfreysill.exchange.claims import ClaimRepliesFrame
from comfreysill.gateway.messages import ClaimantDisconnected, ClaimsReceived, EntryStateMessage
from comfreysill.mailbox import Mailbox
from comfreysill.sessions import serve_session
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.claims import decode_claims, encode_replies
from comfreysill.wire.exchange_grpc import RegistrarBase


class ClaimantSession:
    """The open session of a claimant.

    Attributes:
        number: Number of the session at the claimant.
        outbox: Frames to send; None closes the session.
    """

    __slots__ = ("number", "outbox")

    def __init__(self, *, number: int, outbox: Mailbox[ClaimRepliesFrame | None]) -> None:
        self.number = number
        self.outbox = outbox


class RegistrarService(RegistrarBase):
    """gRPC service that claimants connect to; `inbox` is the mailbox of the state task."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[EntryStateMessage]) -> None:
        self.inbox = inbox

    async def Serve(self, stream: Stream) -> None:  # noqa: N802
        """Serves one session until either side closes it; None in its outbox closes it."""
        outbox: Mailbox[ClaimRepliesFrame | None] = Mailbox()

        def receive(message: pb.Claims) -> None:
            self.inbox.post(ClaimsReceived(frame=decode_claims(message), outbox=outbox))

        try:
            await serve_session(stream, outbox, encode_replies, receive)
        finally:
            self.inbox.post(ClaimantDisconnected(outbox=outbox))
