"""Links of an entry to agents and other entries, each served by an asyncio task of its own."""

import asyncio
import logging
import time

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream

from comfreysill.address import Address
from comfreysill.dispatch.messages import PeerFrame
from comfreysill.entry.messages import (
    AgentConnected,
    AgentConnectionRefused,
    AgentDisconnected,
    AgentFrameReceived,
    DispatcherMessage,
    PeerConnected,
    PeerConnectionRefused,
    PeerDisconnected,
    PeerFrameReceived,
)
from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import EntryFrame
from comfreysill.wire.agents import decode_agent_frame, encode_entry_frame
from comfreysill.wire.comfreysill_grpc import AgentStub, PeerBase, PeerStub
from comfreysill.wire.errors import LINK_ERRORS, UNREADABLE_ERRORS
from comfreysill.wire.peers import decode_peer_frame, encode_peer_frame

logger = logging.getLogger(__name__)

RECONNECT_DELAY_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 1.0
FRAME_TIMEOUT_SECONDS = 5.0


class AgentLink:
    """Link to one agent.

    Attributes:
        agent: Name of the agent.
        address: Address at which the agent listens.
        inbox: Messages to the asyncio task that owns the dispatcher.
        outbox: Frames to send; those of earlier sessions are dropped.
        session: Number of the current session, incremented with each connection attempt; 0 before
            the first.
    """

    __slots__ = ("agent", "address", "inbox", "outbox", "session")

    def __init__(self, *, agent: str, address: Address, inbox: Mailbox[DispatcherMessage]) -> None:
        self.agent = agent
        self.address = address
        self.inbox = inbox
        self.outbox: Mailbox[EntryFrame] = Mailbox()
        self.session = 0


class PeerLink:
    """Link over which this entry sends frames to another entry."""

    __slots__ = ("name", "address", "inbox", "outbox")

    def __init__(self, *, name: str, address: Address, inbox: Mailbox[DispatcherMessage]) -> None:
        self.name = name
        self.address = address
        self.inbox = inbox
        self.outbox: Mailbox[PeerFrame] = Mailbox()


async def run_agent_link(link: AgentLink) -> None:
    """Opens a session with an agent, and a new one whenever it ends, until cancelled."""
    while True:
        link.session += 1
        channel = Channel(link.address.host, link.address.port)
        tried_at = time.time()
        refused = False
        try:
            await _serve_agent_link(link, channel)
        except ConnectionRefusedError:
            refused = True
        except UNREADABLE_ERRORS as error:
            logger.warning("unreadable frame of agent %s; link closed: %s", link.agent, error)
        except LINK_ERRORS as error:
            logger.debug("session with agent %s failed: %s", link.agent, error)
        except Exception:
            logger.exception("session with agent %s failed unexpectedly", link.agent)
        finally:
            channel.close()
            link.inbox.post(AgentDisconnected(agent=link.agent, session=link.session))
        if refused:
            link.inbox.post(AgentConnectionRefused(agent=link.agent, tried_at=tried_at))
        await asyncio.sleep(RECONNECT_DELAY_SECONDS)


async def restart_agent_link(link: AgentLink, former_task: asyncio.Task) -> None:
    """Ends the session that an asyncio task serves, and opens one at the link's present address."""
    former_task.cancel()
    await asyncio.wait({former_task})
    await run_agent_link(link)


async def _serve_agent_link(link: AgentLink, channel: Channel) -> None:
    async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
        await channel.__connect__()
    async with AgentStub(channel).Work.open() as stream:
        await stream.send_request()
        link.inbox.post(AgentConnected(agent=link.agent, session=link.session))
        writer = asyncio.create_task(_write_agent_frames(link, stream))
        try:
            while True:
                async with asyncio.timeout(FRAME_TIMEOUT_SECONDS):
                    frame = await stream.recv_message()
                if frame is None:
                    return
                link.inbox.post(AgentFrameReceived(frame=decode_agent_frame(frame)))
        finally:
            writer.cancel()


async def _write_agent_frames(link: AgentLink, stream: Stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            if frame.session == link.session:
                await stream.send_message(encode_entry_frame(frame))


async def run_peer_link(link: PeerLink) -> None:
    """Connects to another entry, and reconnects whenever the connection ends, until cancelled."""
    while True:
        channel = Channel(link.address.host, link.address.port)
        try:
            await _serve_peer_link(link, channel)
        except ConnectionRefusedError:
            link.inbox.post(PeerConnectionRefused(name=link.name))
        except LINK_ERRORS as error:
            logger.debug("session with entry %s failed: %s", link.name, error)
        except Exception:
            logger.exception("session with entry %s failed unexpectedly", link.name)
        finally:
            channel.close()
            link.inbox.post(PeerDisconnected(name=link.name))
        await asyncio.sleep(RECONNECT_DELAY_SECONDS)


async def _serve_peer_link(link: PeerLink, channel: Channel) -> None:
    async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
        await channel.__connect__()
    async with PeerStub(channel).Exchange.open() as stream:
        await stream.send_request()
        # Frames queued for an earlier connection are dropped.
        while not link.outbox.is_empty():
            await link.outbox.get_batch()
        link.inbox.post(PeerConnected(name=link.name))
        writer = asyncio.create_task(_write_peer_frames(link, stream))
        try:
            # The other entry sends nothing on this stream: this returns when the stream ends.
            await stream.recv_message()
        finally:
            writer.cancel()


async def _write_peer_frames(link: PeerLink, stream: Stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            await stream.send_message(encode_peer_frame(frame))


class PeerService(PeerBase):
    """Receives the frames of other entries."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[DispatcherMessage]) -> None:
        self.inbox = inbox

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Receives frames from one other entry until the connection closes."""
        try:
            async for frame in stream:
                self.inbox.post(PeerFrameReceived(frame=decode_peer_frame(frame)))
        except (StreamTerminatedError, ConnectionError):
            pass
        except UNREADABLE_ERRORS as error:
            logger.warning("unreadable frame of another entry; link closed: %s", error)
