"""The agent's gRPC service: each session with an entry is a stream, served by asyncio tasks."""

import asyncio
import logging

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from comfreysill.agent.messages import EntryFrameReceived, LedgerMessage, SessionClosed
from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import AgentFrame
from comfreysill.wire.agents import decode_entry_frame, encode_agent_frame
from comfreysill.wire.comfreysill_grpc import AgentBase
from comfreysill.wire.errors import UNREADABLE_ERRORS

logger = logging.getLogger(__name__)


class AgentService(AgentBase):
    """Serves the sessions of entries."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[LedgerMessage]) -> None:
        self.inbox = inbox

    async def Work(self, stream: Stream) -> None:  # noqa: N802
        """Serves a session until either side closes it."""
        outbox: Mailbox[AgentFrame | None] = Mailbox()
        reader = asyncio.get_running_loop().create_task(self._read(stream, outbox))
        try:
            await _write(stream, outbox)
        except (StreamTerminatedError, ConnectionError):
            pass
        finally:
            reader.cancel()
            self.inbox.post(SessionClosed(outbox=outbox))

    async def _read(self, stream: Stream, outbox: Mailbox[AgentFrame | None]) -> None:
        try:
            async for frame in stream:
                self.inbox.post(EntryFrameReceived(frame=decode_entry_frame(frame), outbox=outbox))
        except (StreamTerminatedError, ConnectionError):
            pass
        except UNREADABLE_ERRORS as error:
            logger.warning("unreadable frame; link closed: %s", error)
        finally:
            outbox.post(None)


async def _write(stream: Stream, outbox: Mailbox[AgentFrame | None]) -> None:
    while True:
        for frame in await outbox.get_batch():
            if frame is None:
                raise GRPCError(Status.ABORTED, "the link is closed")
            await stream.send_message(encode_agent_frame(frame))
