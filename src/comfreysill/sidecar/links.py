"""Links from entries to an agent on the platform, and its announcements to entries."""

import asyncio
import logging

from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from comfreysill.exchange.messages import AgentFrame, Member
from comfreysill.mailbox import Mailbox
from comfreysill.roster_client import call_roster
from comfreysill.sidecar.messages import AgentStateMessage, EntryFrameReceived, SessionClosed
from comfreysill.wire.errors import UNREADABLE_ERRORS
from comfreysill.wire.exchange import decode_entry_frame, encode_agent_frame, encode_announcement
from comfreysill.wire.exchange_grpc import RosterStub, TargetBase

logger = logging.getLogger(__name__)


class TargetService(TargetBase):
    """gRPC service that entries connect to; `inbox` is the mailbox of the state task."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[AgentStateMessage]) -> None:
        self.inbox = inbox

    async def Serve(self, stream: Stream) -> None:  # noqa: N802
        """Serves one session until either side closes it; None in its outbox closes it."""
        outbox: Mailbox[AgentFrame | None] = Mailbox()
        reader = asyncio.create_task(self._read(stream, outbox))
        try:
            await _write(stream, outbox)
        except (StreamTerminatedError, ConnectionError):
            return
        finally:
            reader.cancel()
            self.inbox.post(SessionClosed(outbox=outbox))

    async def _read(self, stream: Stream, outbox: Mailbox[AgentFrame | None]) -> None:
        try:
            async for message in stream:
                frame = decode_entry_frame(message)
                self.inbox.post(EntryFrameReceived(frame=frame, outbox=outbox))
        except (StreamTerminatedError, ConnectionError):
            return
        except UNREADABLE_ERRORS as error:
            fields = {"why": f"{type(error).__name__} {error}"}
            logger.warning("unreadable frame; link closed", extra={"fields": fields})
        except Exception:
            logger.exception("reading frames failed unexpectedly; link closed")
        finally:
            outbox.post(None)


async def _write(stream: Stream, outbox: Mailbox[AgentFrame | None]) -> None:
    while True:
        for frame in await outbox.get_batch():
            if frame is None:
                raise GRPCError(Status.ABORTED, "the link is closed")
            await stream.send_message(encode_agent_frame(frame))


async def announce(address: str, agent: Member) -> bool:
    """Announces this agent to the entry at an address.

    Returns:
        False if the announcement was not accepted.
    """

    async def call(roster: RosterStub) -> bool:
        await roster.Announce(encode_announcement(agent))
        return True

    return await call_roster(address, call, False)
