"""State, mailbox and links of an entry on the platform, and what its other tasks ask of it."""

import asyncio

from comfreysill.clock import read_boot_clock
from comfreysill.containment import MessageFailures
from comfreysill.exchange.messages import Member, Role
from comfreysill.gateway.links import Link
from comfreysill.gateway.messages import (
    CallerDisconnected,
    Cancel,
    CancelReply,
    EntryStateMessage,
    Reply,
    Submit,
)
from comfreysill.gateway.registrar import ClaimantSession
from comfreysill.mailbox import Mailbox
from comfreysill.placement.closures import is_in_closed_zone
from comfreysill.placement.placement import is_current, is_usable
from comfreysill.placement.state import EntryState
from comfreysill.request.types import CallerWait, Specification


class Actor:
    """State, mailbox and links of an entry.

    Only the state task, the asyncio task that runs `state_task.run_state_task`, changes the state,
    the links and the claimants.

    Attributes:
        state: Requests and agents of the entry.
        inbox: Messages from the other asyncio tasks of the process.
        links: Links by the agent's name, connected or connecting.
        peer_links: Links to other entries by address, connected or connecting.
        claimants: Open sessions of other entries, by name.
        pending_replies: Futures of replies, by number of the waiting caller.
        pending_cancels: Futures of answers to callers that have cancelled a request, by number.
        last_caller_number: Number of the newest caller, 0 before the first.
        routes_text: Undecoded routing document in use, empty if there is none.
        routes_sources: Addresses of entries to fetch the routing document from.
        stopping: True once the shutdown has begun.
        failures: Messages whose handling has failed.
    """

    __slots__ = (
        "state",
        "inbox",
        "links",
        "peer_links",
        "claimants",
        "pending_replies",
        "pending_cancels",
        "last_caller_number",
        "routes_text",
        "routes_sources",
        "stopping",
        "failures",
    )

    def __init__(self, *, state: EntryState) -> None:
        self.state = state
        self.inbox: Mailbox[EntryStateMessage] = Mailbox()
        self.links: dict[str, Link] = {}
        self.peer_links: dict[str, Link] = {}
        self.claimants: dict[str, ClaimantSession] = {}
        self.pending_replies: dict[int, asyncio.Future[Reply]] = {}
        self.pending_cancels: dict[int, asyncio.Future[CancelReply]] = {}
        self.last_caller_number = 0
        self.routes_text = b""
        self.routes_sources: Mailbox[str] = Mailbox()
        self.stopping = False
        self.failures = MessageFailures()


def submit(
    actor: Actor, specification: Specification, wait: CallerWait
) -> tuple[int, asyncio.Future[Reply]]:
    """Queues a request; returns the number of its caller and the future of the reply."""
    actor.last_caller_number += 1
    caller = actor.last_caller_number
    future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
    actor.pending_replies[caller] = future
    actor.inbox.post(Submit(caller=caller, specification=specification, wait=wait))
    return caller, future


def report_disconnect(actor: Actor, caller: int, request_id: str) -> None:
    """Notifies the state task that a caller has disconnected."""
    actor.pending_replies.pop(caller, None)
    actor.inbox.post(CallerDisconnected(caller=caller, request_id=request_id))


def cancel(actor: Actor, request_id: str) -> asyncio.Future[CancelReply]:
    """Queues the cancelling of a request; returns the future of the reply."""
    actor.last_caller_number += 1
    canceller = actor.last_caller_number
    future: asyncio.Future[CancelReply] = asyncio.get_running_loop().create_future()
    actor.pending_cancels[canceller] = future
    actor.inbox.post(Cancel(canceller=canceller, request_id=request_id))
    return future


def list_members(actor: Actor) -> list[Member]:
    """Returns the entries and agents that this entry knows."""
    state = actor.state
    entries = [Member(name=address, role=Role.ENTRY, address=address) for address in state.entries]
    agents = [
        Member(name=agent.name, role=Role.AGENT, address=agent.address, service=agent.service)
        for agent in state.agents.values()
        if agent.address
    ]
    return entries + agents


def is_ready(actor: Actor, listening: bool) -> bool:
    """Returns whether the load balancer should send callers here.

    Closed zones don't count: an entry without any other target refuses at once, and has to be sent
    callers as soon as a zone is opened.

    Args:
        actor: The entry's actor.
        listening: True once the callers' port accepts connections.
    """
    state = actor.state
    if actor.stopping or not listening or not state.routes.version:
        return False
    now = read_boot_clock()
    return any(
        is_usable(state, agent, now) or (is_in_closed_zone(state, agent) and is_current(agent, now))
        for agent in state.agents.values()
    )
