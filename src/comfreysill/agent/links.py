"""The agent's gRPC service: each session with an entry is a stream, served by asyncio tasks."""

from grpclib.server import Stream

from comfreysill.agent.messages import EntryFrameReceived, LedgerMessage, SessionClosed
from comfreysill.mailbox import Mailbox
from comfreysill.sessions import serve_session
from comfreysill.target.frames import AgentFrame
from comfreysill.wire import comfreysill_pb2 as pb
from comfreysill.wire.agents import decode_entry_frame, encode_agent_frame
from comfreysill.wire.comfreysill_grpc import AgentBase


class AgentService(AgentBase):
    """Serves the sessions of entries."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[LedgerMessage]) -> None:
        self.inbox = inbox

    async def Work(self, stream: Stream) -> None:  # noqa: N802
        """Serves a session until either side closes it."""
        outbox: Mailbox[AgentFrame | None] = Mailbox()

        def receive(message: pb.EntryFrame) -> None:
            self.inbox.post(EntryFrameReceived(frame=decode_entry_frame(message), outbox=outbox))

        try:
            await serve_session(stream, outbox, encode_agent_frame, receive)
        finally:
            self.inbox.post(SessionClosed(outbox=outbox))
