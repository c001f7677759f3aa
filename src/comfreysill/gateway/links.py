"""Links of an entry on the platform to agents, each owned by one asyncio task."""

import asyncio
import logging

from grpclib.client import Channel

from comfreysill.address import parse_address
from comfreysill.exchange.messages import EntryFrame
from comfreysill.gateway.messages import (
    AgentFrameReceived,
    EntryStateMessage,
    SessionClosed,
    SessionOpened,
)
from comfreysill.mailbox import Mailbox
from comfreysill.wire.errors import LINK_ERRORS, UNREADABLE_ERRORS
from comfreysill.wire.exchange import decode_agent_frame, encode_entry_frame
from comfreysill.wire.exchange_grpc import TargetStub

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.4
INITIAL_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 1.0


class Link:
    """A link to an agent, reconnected after each failure.

    Attributes:
        agent: Name of the agent's instance.
        address: Address of its link service, `host:port`.
        inbox: Mailbox of the state task.
        outbox: Frames to send; None closes the session.
        session: Number of the newest session, set by the state task; 0 before the first.
        reconnect_now: Set to reconnect without waiting for the back-off delay.
        task: The asyncio task that owns the connection, None before it is created.
    """

    __slots__ = ("agent", "address", "inbox", "outbox", "session", "reconnect_now", "task")

    def __init__(self, *, agent: str, address: str, inbox: Mailbox[EntryStateMessage]) -> None:
        self.agent = agent
        self.address = address
        self.inbox = inbox
        self.outbox: Mailbox[EntryFrame | None] = Mailbox()
        self.session = 0
        self.reconnect_now = asyncio.Event()
        self.task: asyncio.Task | None = None


async def run_link(link: Link) -> None:
    """Connects a link to its agent, and reconnects it after failures, until cancelled."""
    delay = INITIAL_RECONNECT_SECONDS
    while True:
        healthy = await _run_connection(link)
        delay = INITIAL_RECONNECT_SECONDS if healthy else min(delay * 2, MAX_RECONNECT_SECONDS)
        link.reconnect_now.clear()
        try:
            async with asyncio.timeout(delay):
                await link.reconnect_now.wait()
        except TimeoutError:
            continue


async def _run_connection(link: Link) -> bool:
    """Connects a link once, and serves the session until it ends.

    Returns:
        True if the connection was opened, and did not end with a message that can't be decoded or
        with an unexpected error.
    """
    address = parse_address(link.address)
    channel = Channel(address.host, address.port)
    connected = healthy = False
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await channel.__connect__()
        connected = healthy = True
        await _serve_link(link, channel)
    except UNREADABLE_ERRORS as error:
        healthy = False
        logger.warning("unreadable frame; link closed", extra={"fields": _describe(link, error)})
    except LINK_ERRORS as error:
        logger.debug("link failed", extra={"fields": _describe(link, error)})
    except Exception as error:
        healthy = False
        logger.exception("link failed unexpectedly", extra={"fields": _describe(link, error)})
    finally:
        channel.close()
        if connected:
            link.inbox.post(SessionClosed(agent=link.agent, session=link.session))
    return healthy


def _describe(link: Link, error: Exception) -> dict[str, str]:
    return {"agent": link.agent, "why": f"{type(error).__name__} {error}"}


async def _serve_link(link: Link, channel: Channel) -> None:
    # Frames queued in an earlier session are discarded.
    while not link.outbox.is_empty():
        await link.outbox.get_batch()
    async with TargetStub(channel).Serve.open() as stream:
        await stream.send_request()
        link.inbox.post(SessionOpened(agent=link.agent, address=link.address))
        reader = asyncio.create_task(_read_frames(link, stream))
        writer = asyncio.create_task(_write_frames(link, stream))
        try:
            done, _ = await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in (reader, writer):
                task.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)
            # Closing the channel first ends the stream without waiting for the other side.
            channel.close()


async def _read_frames(link: Link, stream) -> None:
    while True:
        message = await stream.recv_message()
        if message is None:
            return
        frame = decode_agent_frame(message)
        link.inbox.post(AgentFrameReceived(agent=link.agent, frame=frame))


async def _write_frames(link: Link, stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            if frame is None:
                return
            if frame.session == link.session:
                await stream.send_message(encode_entry_frame(frame))
