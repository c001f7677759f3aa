"""Links from entries to an agent on the platform, and its announcements to entries."""

from grpclib.server import Stream

from comfreysill.exchange.messages import AgentFrame, Member
from comfreysill.mailbox import Mailbox
from comfreysill.roster_client import call_roster
from comfreysill.sessions import serve_session
from comfreysill.sidecar.messages import AgentStateMessage, EntryFrameReceived, SessionClosed
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.exchange import decode_entry_frame, encode_agent_frame
from comfreysill.wire.exchange_grpc import RosterStub, TargetBase
from comfreysill.wire.members import encode_announcement


class TargetService(TargetBase):
    """gRPC service that entries connect to; `inbox` is the mailbox of the state task."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[AgentStateMessage]) -> None:
        self.inbox = inbox

    async def Serve(self, stream: Stream) -> None:  # noqa: N802
        """Serves one session until either side closes it; None in its outbox closes it."""
        outbox: Mailbox[AgentFrame | None] = Mailbox()

        def receive(message: pb.ToAgent) -> None:
            self.inbox.post(EntryFrameReceived(frame=decode_entry_frame(message), outbox=outbox))

        try:
            await serve_session(stream, outbox, encode_agent_frame, receive)
        finally:
            self.inbox.post(SessionClosed(outbox=outbox))


async def announce(address: str, agent: Member) -> bool:
    """Announces this agent to the entry at an address.

    Returns:
        False if the announcement was not accepted.
    """

    async def call(roster: RosterStub) -> bool:
        await roster.Announce(encode_announcement(agent))
        return True

    return await call_roster(address, call, False)
