"""The asyncio task that owns the dispatcher and applies its effects."""

import asyncio
import logging
import time
from collections.abc import Callable

import msgspec
from result import Err

from comfreysill.address import Address
from comfreysill.dispatch.cancellations import request_cancel, request_wave
from comfreysill.dispatch.core import (
    begin_shutdown,
    connect_peer,
    disconnect_peer,
    flush,
    handle_refused_peer,
    receive_peer_frame,
    tick,
    update_peers,
)
from comfreysill.dispatch.floors import adopt_floor
from comfreysill.dispatch.links import (
    connect_agent,
    disconnect_agent,
    handle_refused_connection,
    receive_agent_frame,
    set_target_draining,
    update_roster,
)
from comfreysill.dispatch.messages import (
    AdoptFloorUpdate,
    AnswerCaller,
    Effect,
    MarkLedgerLost,
    ReadRoster,
    Removal,
    RemoveEntry,
    SendAgentFrame,
    SendPeerFrame,
)
from comfreysill.dispatch.routing import submit_job
from comfreysill.dispatch.state import Dispatcher
from comfreysill.dispatch.submissions import drop_caller
from comfreysill.entry.floors import build_checked_floor
from comfreysill.entry.links import (
    AgentLink,
    PeerLink,
    restart_agent_link,
    run_agent_link,
    run_peer_link,
)
from comfreysill.entry.messages import (
    AgentConnected,
    AgentConnectionRefused,
    AgentDisconnected,
    AgentFrameReceived,
    Cancel,
    CancelTeam,
    DispatcherMessage,
    FloorRead,
    PeerConnected,
    PeerConnectionRefused,
    PeerDisconnected,
    PeerFrameReceived,
    RosterRead,
    SetTargetDraining,
    Shutdown,
    Submit,
    Tick,
)
from comfreysill.floor.document import Floor
from comfreysill.job.types import Answer, JobKey
from comfreysill.mailbox import Mailbox
from comfreysill.platform.documents import decode_document
from comfreysill.platform.registry import AGENT_PREFIX, ENTRY_PREFIX, Roster
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections
from comfreysill.target.messages import FloorUpdate

logger = logging.getLogger(__name__)

_FLOOR_DECODER = msgspec.json.Decoder()


class Actor:
    """State of the asyncio task that owns the dispatcher.

    Attributes:
        dispatcher: Dispatcher of the entry; makes the decisions.
        inbox: Messages from the other asyncio tasks of the process.
        agent_links: Links to agents by name.
        peer_links: Links to other entries by name.
        link_tasks: Asyncio tasks that serve the links, by `agent <name>` or `entry <name>`.
        pending_replies: Replies awaited by callers, by caller number.
        last_caller_number: Number of the most recent caller.
        request_roster: Requests an immediate read of the roster.
        removals: Unreachable agents and entries to remove from the roster, for the asyncio task
            that writes to the store.
        rejections: Entries of lists, and documents, that can't be decoded.
    """

    __slots__ = (
        "dispatcher",
        "inbox",
        "agent_links",
        "peer_links",
        "link_tasks",
        "pending_replies",
        "last_caller_number",
        "request_roster",
        "removals",
        "rejections",
    )

    def __init__(self, *, dispatcher: Dispatcher, request_roster: Callable[[], None]) -> None:
        self.dispatcher = dispatcher
        self.inbox: Mailbox[DispatcherMessage] = Mailbox()
        self.agent_links: dict[str, AgentLink] = {}
        self.peer_links: dict[str, PeerLink] = {}
        self.link_tasks: dict[str, asyncio.Task] = {}
        self.pending_replies: dict[int, asyncio.Future[Answer]] = {}
        self.last_caller_number = 0
        self.request_roster = request_roster
        self.removals: Mailbox[Removal] = Mailbox()
        self.rejections = Rejections()


async def run_dispatcher_task(actor: Actor) -> None:
    """Processes messages and applies the resulting effects, until cancelled."""
    while True:
        messages = await actor.inbox.get_batch()
        now = time.time()
        for message in messages:
            _receive(actor, message, now)
        for effect in flush(actor.dispatcher, now):
            apply_effect(actor, effect)


async def close_links(actor: Actor) -> None:
    """Cancels the asyncio tasks of all links and waits for their end."""
    for task in actor.link_tasks.values():
        task.cancel()
    await asyncio.gather(*actor.link_tasks.values(), return_exceptions=True)


def _receive(actor: Actor, message: DispatcherMessage, now: float) -> None:
    dispatcher = actor.dispatcher
    if isinstance(message, AgentFrameReceived):
        receive_agent_frame(dispatcher, message.frame, now)
    elif isinstance(message, Submit):
        _submit(actor, message, now)
    elif isinstance(message, PeerFrameReceived):
        receive_peer_frame(dispatcher, message.frame, now)
    elif isinstance(message, Tick):
        tick(dispatcher, now)
    elif isinstance(message, RosterRead):
        _receive_roster(actor, message, now)
    elif isinstance(message, FloorRead):
        _adopt_floor(actor, message.floor, message.text)
    elif isinstance(message, Cancel):
        request_cancel(dispatcher, message.key, now)
    elif isinstance(message, CancelTeam):
        cancelled = request_wave(dispatcher, message.team, message.task_class, now)
        message.reply.set_result(cancelled)
    elif isinstance(message, SetTargetDraining):
        message.reply.set_result(set_target_draining(dispatcher, message.agent, message.draining))
    elif isinstance(message, AgentConnected):
        logger.info("session with agent %s opened", message.agent)
        connect_agent(dispatcher, message.agent, message.session)
    elif isinstance(message, AgentDisconnected):
        disconnect_agent(dispatcher, message.agent, message.session, now)
    elif isinstance(message, AgentConnectionRefused):
        handle_refused_connection(dispatcher, message.agent, message.tried_at, now)
    elif isinstance(message, PeerConnectionRefused):
        handle_refused_peer(dispatcher, message.name, now)
    elif isinstance(message, PeerConnected):
        logger.info("session with entry %s opened", message.name)
        connect_peer(dispatcher, message.name)
    elif isinstance(message, PeerDisconnected):
        disconnect_peer(dispatcher, message.name, now)
    elif isinstance(message, Shutdown):
        begin_shutdown(dispatcher, now)


def _submit(actor: Actor, message: Submit, now: float) -> None:
    actor.last_caller_number += 1
    caller = actor.last_caller_number
    actor.pending_replies[caller] = message.reply
    key = message.submission.key
    message.reply.add_done_callback(lambda reply: _remove_caller(actor, key, caller, reply))
    submit_job(actor.dispatcher, caller, message.submission, now)


def _remove_caller(actor: Actor, key: JobKey, caller: int, reply: "asyncio.Future[Answer]") -> None:
    actor.pending_replies.pop(caller, None)
    if reply.cancelled():
        drop_caller(actor.dispatcher, key, caller)


def apply_effect(actor: Actor, effect: Effect) -> None:
    """Carries out a decision of the dispatcher."""
    if isinstance(effect, SendAgentFrame):
        link = actor.agent_links.get(effect.agent)
        if link is not None:
            link.outbox.post(effect.frame)
    elif isinstance(effect, SendPeerFrame):
        link = actor.peer_links.get(effect.entry)
        if link is not None:
            link.outbox.post(effect.frame)
    elif isinstance(effect, AnswerCaller):
        reply = actor.pending_replies.get(effect.caller)
        if reply is not None and not reply.done():
            reply.set_result(effect.answer)
    elif isinstance(effect, AdoptFloorUpdate):
        _adopt_floor_update(actor, effect.update)
    elif isinstance(effect, MarkLedgerLost | RemoveEntry):
        actor.removals.post(effect)
    elif isinstance(effect, ReadRoster):
        actor.request_roster()


def _adopt_floor(actor: Actor, floor: Floor, text: bytes) -> None:
    if adopt_floor(actor.dispatcher, floor, text):
        logger.info("adopted floor document version %d", floor.version)


def _adopt_floor_update(actor: Actor, update: FloorUpdate) -> None:
    decoded = decode_document(_FLOOR_DECODER, update.document)
    floor = decoded.and_then(lambda document: build_checked_floor(update.version, document))
    if isinstance(floor, Err):
        rejected = RejectedEntry(
            name=str(update.version), identity=hash(update.document), why=floor.err_value
        )
        record_rejections(actor.rejections, "floor of another entry", [rejected])
        return
    _adopt_floor(actor, floor.ok_value, update.document)


def _receive_roster(actor: Actor, message: RosterRead, now: float) -> None:
    dispatcher = actor.dispatcher
    roster = message.roster
    if roster is None:
        dispatcher.roster_failed_at = max(dispatcher.roster_failed_at, message.started_at)
        return
    held_agents = [
        target.registration
        for target in dispatcher.targets.values()
        if AGENT_PREFIX + target.name in roster.unreadable
    ]
    agents = [*roster.agents, *held_agents]
    update_roster(dispatcher, agents, roster.revision, roster.lost_at, message.started_at, now)
    held_peers = [name for name in dispatcher.peers if ENTRY_PREFIX + name in roster.unreadable]
    entry_names = [*(entry.name for entry in roster.entries), *held_peers]
    update_peers(dispatcher, entry_names, message.started_at, now)
    _update_links(actor, roster)


def _update_links(actor: Actor, roster: Roster) -> None:
    own_name = actor.dispatcher.name
    peers = {entry.name: entry for entry in roster.entries if entry.name != own_name}
    agents = {registration.agent: registration for registration in roster.agents}
    held = roster.unreadable
    for name in set(actor.peer_links) - set(peers):
        if ENTRY_PREFIX + name in held:
            continue
        del actor.peer_links[name]
        actor.link_tasks.pop(f"entry {name}").cancel()
    for name in set(actor.agent_links) - set(agents):
        if AGENT_PREFIX + name in held:
            continue
        del actor.agent_links[name]
        actor.link_tasks.pop(f"agent {name}").cancel()
    for name, entry in peers.items():
        if name not in actor.peer_links:
            address = Address(host=entry.host, port=entry.port)
            link = PeerLink(name=name, address=address, inbox=actor.inbox)
            actor.peer_links[name] = link
            actor.link_tasks[f"entry {name}"] = asyncio.create_task(run_peer_link(link))
    for name, registration in agents.items():
        link = actor.agent_links.get(name)
        address = Address(host=registration.host, port=registration.port)
        if link is None:
            link = AgentLink(agent=name, address=address, inbox=actor.inbox)
            actor.agent_links[name] = link
            actor.link_tasks[f"agent {name}"] = asyncio.create_task(run_agent_link(link))
        elif str(link.address) != str(address):
            # An agent keeps its name when its process is replaced, an entry doesn't: only the
            # address of an agent can change. The process at the former one may still run.
            link.address = address
            former_task = actor.link_tasks[f"agent {name}"]
            actor.link_tasks[f"agent {name}"] = asyncio.create_task(
                restart_agent_link(link, former_task)
            )
