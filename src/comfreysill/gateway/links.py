"""Links of an entry on the platform to agents and other entries, each owned by one asyncio task."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel

from comfreysill.address import parse_address
from comfreysill.gateway.messages import (
    AgentFrameReceived,
    ClaimRepliesReceived,
    EntryStateMessage,
    PeerRefused,
    PeerSessionClosed,
    PeerSessionOpened,
    SessionClosed,
    SessionOpened,
)
from comfreysill.mailbox import Mailbox
from comfreysill.wire.claims import decode_replies, encode_claims
from comfreysill.wire.errors import LINK_ERRORS, UNREADABLE_ERRORS
from comfreysill.wire.exchange import decode_agent_frame, encode_entry_frame
from comfreysill.wire.exchange_grpc import RegistrarStub, TargetStub

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 0.4
INITIAL_RECONNECT_SECONDS = 0.05
MAX_RECONNECT_SECONDS = 1.0


class Protocol:
    """What a link speaks, and what it tells the state task.

    Attributes:
        open_stream: Opens the stream of frames on a connection.
        encode: Encodes a frame to its protobuf message.
        build_received: Decodes a protobuf message to the message for the state task.
        build_opened: Builds the message that a session was opened.
        build_closed: Builds the message that a session was closed, from its number.
        build_refused: Builds the message that a connection was refused, None if the state task
            needn't know.
    """

    __slots__ = (
        "open_stream",
        "encode",
        "build_received",
        "build_opened",
        "build_closed",
        "build_refused",
    )

    def __init__(
        self,
        *,
        open_stream: Callable[[Channel], Any],
        encode: Callable[[Any], Any],
        build_received: Callable[[Any], EntryStateMessage],
        build_opened: Callable[[], EntryStateMessage],
        build_closed: Callable[[int], EntryStateMessage],
        build_refused: Callable[[], EntryStateMessage] | None = None,
    ) -> None:
        self.open_stream = open_stream
        self.encode = encode
        self.build_received = build_received
        self.build_opened = build_opened
        self.build_closed = build_closed
        self.build_refused = build_refused


class Link:
    """A link to an agent or another entry, reconnected after each failure.

    Attributes:
        name: Name of the agent's instance, or address of the other entry.
        address: Address of its service, `host:port`.
        protocol: What it speaks.
        inbox: Mailbox of the state task.
        outbox: Frames to send; None closes the session.
        session: Number of the newest session, set by the state task; 0 before the first.
        reconnect_now: Set to reconnect without waiting for the back-off delay.
        task: The asyncio task that owns the connection, None before it is created.
    """

    __slots__ = (
        "name",
        "address",
        "protocol",
        "inbox",
        "outbox",
        "session",
        "reconnect_now",
        "task",
    )

    def __init__(
        self, *, name: str, address: str, protocol: Protocol, inbox: Mailbox[EntryStateMessage]
    ) -> None:
        self.name = name
        self.address = address
        self.protocol = protocol
        self.inbox = inbox
        self.outbox: Mailbox[Any | None] = Mailbox()
        self.session = 0
        self.reconnect_now = asyncio.Event()
        self.task: asyncio.Task | None = None


def build_agent_link(agent: str, address: str, inbox: Mailbox[EntryStateMessage]) -> Link:
    """Builds the link to an agent."""
    protocol = Protocol(
        open_stream=lambda channel: TargetStub(channel).Serve.open(),
        encode=encode_entry_frame,
        build_received=lambda message: AgentFrameReceived(
            agent=agent, frame=decode_agent_frame(message)
        ),
        build_opened=lambda: SessionOpened(agent=agent, address=address),
        build_closed=lambda session: SessionClosed(agent=agent, session=session),
    )
    return Link(name=agent, address=address, protocol=protocol, inbox=inbox)


def build_peer_link(address: str, inbox: Mailbox[EntryStateMessage]) -> Link:
    """Builds the link to another entry, which keeps claims of this one."""
    protocol = Protocol(
        open_stream=lambda channel: RegistrarStub(channel).Serve.open(),
        encode=encode_claims,
        build_received=lambda message: ClaimRepliesReceived(
            address=address, frame=decode_replies(message)
        ),
        build_opened=lambda: PeerSessionOpened(address=address),
        build_closed=lambda session: PeerSessionClosed(address=address, session=session),
        build_refused=lambda: PeerRefused(address=address),
    )
    return Link(name=address, address=address, protocol=protocol, inbox=inbox)


async def run_link(link: Link) -> None:
    """Connects a link, and reconnects it after failures, until cancelled."""
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
        is_refused = isinstance(error, ConnectionRefusedError) and not connected
        if is_refused and link.protocol.build_refused is not None:
            link.inbox.post(link.protocol.build_refused())
        logger.debug("link failed", extra={"fields": _describe(link, error)})
    except Exception as error:
        healthy = False
        logger.exception("link failed unexpectedly", extra={"fields": _describe(link, error)})
    finally:
        channel.close()
        if connected:
            link.inbox.post(link.protocol.build_closed(link.session))
    return healthy


def _describe(link: Link, error: Exception) -> dict[str, str]:
    return {"to": link.name, "why": f"{type(error).__name__} {error}"}


async def _serve_link(link: Link, channel: Channel) -> None:
    # Frames queued in an earlier session are discarded.
    while not link.outbox.is_empty():
        await link.outbox.get_batch()
    async with link.protocol.open_stream(channel) as stream:
        await stream.send_request()
        link.inbox.post(link.protocol.build_opened())
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
        link.inbox.post(link.protocol.build_received(message))


async def _write_frames(link: Link, stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            if frame is None:
                return
            if frame.session == link.session:
                await stream.send_message(link.protocol.encode(frame))
