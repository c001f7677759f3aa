"""The task that owns the dispatcher and applies its effects."""

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

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
    handle_refused_agent,
    receive_agent_frame,
    set_target_draining,
    update_roster,
)
from comfreysill.dispatch.messages import (
    AdoptFloorUpdate,
    AnswerCaller,
    Effect,
    MarkAgentLost,
    ReadRoster,
    Removal,
    RemoveEntry,
    SendAgentFrame,
    SendPeerFrame,
)
from comfreysill.dispatch.routing import submit_job
from comfreysill.dispatch.state import Dispatcher
from comfreysill.dispatch.submissions import drop_caller
from comfreysill.entry.links import AgentLink, PeerLink, run_agent_link, run_peer_link
from comfreysill.entry.messages import (
    AgentConnected,
    AgentConnectionRefused,
    AgentDisconnected,
    AgentFrameReceived,
    Cancel,
    CancelTeam,
    DispatcherMessage,
    FloorRead,
    MembersRead,
    PeerConnected,
    PeerConnectionRefused,
    PeerDisconnected,
    PeerFrameReceived,
    SetTargetDraining,
    Shutdown,
    Submit,
    Tick,
)
from comfreysill.floor.document import Floor, build_floor
from comfreysill.job.types import Answer, JobKey
from comfreysill.mailbox import Mailbox
from comfreysill.platform.registry import Roster
from comfreysill.target.messages import FloorUpdate

logger = logging.getLogger(__name__)


class Actor:
    """State of the dispatcher's task.

    Attributes:
        dispatcher: Dispatcher of the entry.
        inbox: Messages from the other tasks of the process.
        agent_links: Links to agents by name.
        peer_links: Links to other entries by name.
        link_tasks: Tasks that serve the links, by kind and name.
        pending_replies: Replies awaited by callers, by caller number.
        last_caller_number: Number of the most recent caller.
        request_roster: Requests an immediate read of the list of registrations.
        removals: Registrations to remove, for the task that writes to the platform's table.
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


async def run_dispatcher_task(actor: Actor) -> None:
    """Runs the dispatcher's task until it is cancelled."""
    while True:
        messages = await actor.inbox.get_batch()
        now = time.time()
        for message in messages:
            _receive(actor, message, now)
        for effect in flush(actor.dispatcher, now):
            _apply_effect(actor, effect)


async def close_links(actor: Actor) -> None:
    """Cancels all link tasks and waits for their end."""
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
    elif isinstance(message, MembersRead):
        _receive_members(actor, message, now)
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
        logger.info("link to agent %s opened", message.agent)
        connect_agent(dispatcher, message.agent, message.session)
    elif isinstance(message, AgentDisconnected):
        disconnect_agent(dispatcher, message.agent, message.session, now)
    elif isinstance(message, AgentConnectionRefused):
        handle_refused_agent(dispatcher, message.agent, message.tried_at, now)
    elif isinstance(message, PeerConnectionRefused):
        handle_refused_peer(dispatcher, message.name, now)
    elif isinstance(message, PeerConnected):
        logger.info("link to entry %s opened", message.name)
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


def _apply_effect(actor: Actor, effect: Effect) -> None:
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
        _apply_floor_update(actor, effect.update)
    elif isinstance(effect, MarkAgentLost | RemoveEntry):
        actor.removals.post(effect)
    elif isinstance(effect, ReadRoster):
        actor.request_roster()


def _adopt_floor(actor: Actor, floor: Floor, text: bytes) -> None:
    if adopt_floor(actor.dispatcher, floor, text):
        logger.info("floor document version %d is in force", floor.version)


def _apply_floor_update(actor: Actor, update: FloorUpdate) -> None:
    document = orjson.loads(update.document)
    _adopt_floor(actor, build_floor(update.version, document), update.document)


def _receive_members(actor: Actor, message: MembersRead, now: float) -> None:
    dispatcher = actor.dispatcher
    members = message.members
    if members is None:
        dispatcher.roster_failed_at = max(dispatcher.roster_failed_at, message.started_at)
        return
    update_roster(
        dispatcher, members.agents, members.revision, members.lost_at, message.started_at, now
    )
    update_peers(dispatcher, [entry.name for entry in members.entries], now)
    _update_links(actor, members)


def _update_links(actor: Actor, members: Roster) -> None:
    own_name = actor.dispatcher.name
    peers = {entry.name: entry for entry in members.entries if entry.name != own_name}
    agents = {agent.agent: agent for agent in members.agents}
    for name in set(actor.peer_links) - set(peers):
        del actor.peer_links[name]
        actor.link_tasks.pop(f"entry {name}").cancel()
    for name in set(actor.agent_links) - set(agents):
        del actor.agent_links[name]
        actor.link_tasks.pop(f"agent {name}").cancel()
    for name, entry in peers.items():
        if name not in actor.peer_links:
            address = Address(host=entry.host, port=entry.port)
            link = PeerLink(name=name, address=address, inbox=actor.inbox)
            actor.peer_links[name] = link
            actor.link_tasks[f"entry {name}"] = asyncio.create_task(run_peer_link(link))
    for name, agent in agents.items():
        link = actor.agent_links.get(name)
        if link is None:
            address = Address(host=agent.host, port=agent.port)
            link = AgentLink(agent=name, address=address, inbox=actor.inbox)
            actor.agent_links[name] = link
            actor.link_tasks[f"agent {name}"] = asyncio.create_task(run_agent_link(link))
        link.address = Address(host=agent.host, port=agent.port)
