"""Links of an entry: one task for each agent and each other entry owns its connection."""

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
    AgentDisconnected,
    AgentRefused,
    AgentReported,
    DispatcherMessage,
    PeerConnected,
    PeerDisconnected,
    PeerRefused,
    PeerReported,
)
from comfreysill.mailbox import Mailbox
from comfreysill.target.frames import EntryFrame
from comfreysill.wire.agents import decode_agent_frame, encode_entry_frame
from comfreysill.wire.comfreysill_grpc import AgentStub, PeerBase, PeerStub
from comfreysill.wire.errors import LINK_ERRORS
from comfreysill.wire.peers import decode_peer_frame, encode_peer_frame

logger = logging.getLogger(__name__)

RECONNECT_SECONDS = 0.2
CONNECT_LIMIT_SECONDS = 1.0
SILENCE_LIMIT_SECONDS = 5.0


class AgentLink:
    """Link to one agent.

    Attributes:
        agent: Name of the agent.
        address: Where the agent listens.
        inbox: Mailbox of the dispatcher.
        outbox: Frames to send; None ends the link.
        session: Number of the open session, raised with each connection.
    """

    __slots__ = ("agent", "address", "inbox", "outbox", "session")

    def __init__(self, *, agent: str, address: Address, inbox: Mailbox[DispatcherMessage]) -> None:
        self.agent = agent
        self.address = address
        self.inbox = inbox
        self.outbox: Mailbox[EntryFrame] = Mailbox()
        self.session = 0


class PeerLink:
    """Link to one other entry, over which this entry sends."""

    __slots__ = ("name", "address", "inbox", "outbox")

    def __init__(self, *, name: str, address: Address, inbox: Mailbox[DispatcherMessage]) -> None:
        self.name = name
        self.address = address
        self.inbox = inbox
        self.outbox: Mailbox[PeerFrame] = Mailbox()


async def run_agent_link(link: AgentLink) -> None:
    """Keeps a link to an agent open until it is cancelled."""
    while True:
        link.session += 1
        channel = Channel(link.address.host, link.address.port)
        tried_at = time.time()
        refused = False
        try:
            await _serve_agent(link, channel)
        except ConnectionRefusedError:
            refused = True
        except LINK_ERRORS as error:
            logger.debug("link to agent %s: %s", link.agent, error)
        finally:
            channel.close()
            link.inbox.post(AgentDisconnected(agent=link.agent, session=link.session))
        if refused:
            link.inbox.post(AgentRefused(agent=link.agent, tried_at=tried_at))
        await asyncio.sleep(RECONNECT_SECONDS)


async def _serve_agent(link: AgentLink, channel: Channel) -> None:
    async with asyncio.timeout(CONNECT_LIMIT_SECONDS):
        await channel.__connect__()
    async with AgentStub(channel).Work.open() as stream:
        await stream.send_request()
        link.inbox.post(AgentConnected(agent=link.agent, session=link.session))
        writer = asyncio.create_task(_write_agent(link, stream))
        try:
            while True:
                async with asyncio.timeout(SILENCE_LIMIT_SECONDS):
                    frame = await stream.recv_message()
                if frame is None:
                    return
                link.inbox.post(AgentReported(frame=decode_agent_frame(frame)))
        finally:
            writer.cancel()


async def _write_agent(link: AgentLink, stream: Stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            if frame.session == link.session:
                await stream.send_message(encode_entry_frame(frame))


async def run_peer_link(link: PeerLink) -> None:
    """Keeps a link to another entry open until it is cancelled."""
    while True:
        channel = Channel(link.address.host, link.address.port)
        try:
            await _serve_peer(link, channel)
        except ConnectionRefusedError:
            link.inbox.post(PeerRefused(name=link.name))
        except LINK_ERRORS as error:
            logger.debug("link to entry %s: %s", link.name, error)
        finally:
            channel.close()
            link.inbox.post(PeerDisconnected(name=link.name))
        await asyncio.sleep(RECONNECT_SECONDS)


async def _serve_peer(link: PeerLink, channel: Channel) -> None:
    async with asyncio.timeout(CONNECT_LIMIT_SECONDS):
        await channel.__connect__()
    async with PeerStub(channel).Exchange.open() as stream:
        await stream.send_request()
        while not link.outbox.is_empty():
            await link.outbox.get_batch()
        link.inbox.post(PeerConnected(name=link.name))
        writer = asyncio.create_task(_write_peer(link, stream))
        try:
            await stream.recv_message()
        finally:
            writer.cancel()


async def _write_peer(link: PeerLink, stream: Stream) -> None:
    while True:
        for frame in await link.outbox.get_batch():
            await stream.send_message(encode_peer_frame(frame))


class PeerService(PeerBase):
    """Takes the links of other entries."""

    __slots__ = ("inbox",)

    def __init__(self, *, inbox: Mailbox[DispatcherMessage]) -> None:
        self.inbox = inbox

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Serves the link of one other entry until it closes."""
        try:
            async for frame in stream:
                self.inbox.post(PeerReported(frame=decode_peer_frame(frame)))
        except (StreamTerminatedError, ConnectionError):
            pass
