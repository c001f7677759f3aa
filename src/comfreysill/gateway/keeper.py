"""The state task, which owns the state of an entry and carries out its effects."""

import asyncio
import logging
import math
from collections.abc import Callable

from comfreysill.clock import read_boot_clock
from comfreysill.gateway.links import Link, run_link
from comfreysill.gateway.messages import (
    AgentDiscovered,
    AgentFrameReceived,
    CallerDisconnected,
    Cancel,
    ConcludeRequests,
    EntriesDiscovered,
    EntryStateMessage,
    LinkClosed,
    LinkOpened,
    Reply,
    RoutesRead,
    Submit,
    Tick,
)
from comfreysill.mailbox import Mailbox
from comfreysill.placement.agents import (
    close_link,
    collect_frames,
    discover_agent,
    expire_agents,
    open_link,
    receive_agent_frame,
)
from comfreysill.placement.placement import is_usable, place_waiting, refuse_unmeetable
from comfreysill.placement.requests import (
    conclude_request,
    disconnect_caller,
    expire_cached_verdicts,
    submit_request,
)
from comfreysill.placement.state import (
    CloseLink,
    DropLink,
    Effect,
    EntryState,
    FetchRoutes,
    OpenLink,
    SendFrame,
    SendVerdict,
)
from comfreysill.placement.subset import update_subset
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import choose_newer

logger = logging.getLogger(__name__)


class Keeper:
    """Data owned by the state task.

    Attributes:
        state: Requests and agents of the entry.
        inbox: Messages from the other tasks of the process.
        links: Links by agent, connected or connecting.
        pending_replies: Futures of replies by number of the waiting caller.
        last_caller_number: Number of the newest caller.
        routes_text: Undecoded routing document in force, empty for none.
        routes_sources: Addresses of entries to fetch the routing document from.
        closing: True once the shutdown has begun.
    """

    __slots__ = (
        "state",
        "inbox",
        "links",
        "pending_replies",
        "last_caller_number",
        "routes_text",
        "routes_sources",
        "closing",
    )

    def __init__(self, *, state: EntryState) -> None:
        self.state = state
        self.inbox: Mailbox[EntryStateMessage] = Mailbox()
        self.links: dict[str, Link] = {}
        self.pending_replies: dict[int, asyncio.Future[Reply]] = {}
        self.last_caller_number = 0
        self.routes_text = b""
        self.routes_sources: Mailbox[str] = Mailbox()
        self.closing = False


def submit(keeper: Keeper, specification: Specification) -> tuple[int, asyncio.Future[Reply]]:
    """Submits a request; returns the number of its caller and the future reply."""
    keeper.last_caller_number += 1
    number = keeper.last_caller_number
    future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
    keeper.pending_replies[number] = future
    keeper.inbox.post(Submit(caller=number, specification=specification))
    return number, future


def report_disconnect(keeper: Keeper, number: int) -> None:
    """Reports to the state task that a caller has disconnected."""
    keeper.pending_replies.pop(number, None)
    keeper.inbox.post(CallerDisconnected(caller=number))


def is_ready(keeper: Keeper, listening: bool) -> bool:
    """Returns whether the balancer should send callers here.

    Args:
        keeper: Data owned by the state task.
        listening: True once the callers' port accepts connections.
    """
    state = keeper.state
    if keeper.closing or not listening or not state.routes.version:
        return False
    now = read_boot_clock()
    return any(is_usable(agent, now) for agent in state.agents.values())


async def run_state_task(keeper: Keeper) -> None:
    """Runs the task until it is cancelled."""
    while True:
        messages = await keeper.inbox.get_batch()
        now = read_boot_clock()
        for message in messages:
            HANDLERS[type(message)](keeper, message, now)
        _flush(keeper, now)


def _receive_submit(keeper: Keeper, message: Submit, now: float) -> None:
    submit_request(keeper.state, message.caller, message.specification, now)


def _receive_disconnect(keeper: Keeper, message: CallerDisconnected, now: float) -> None:
    disconnect_caller(keeper.state, message.caller, now)


def _receive_cancel(keeper: Keeper, message: Cancel, now: float) -> None:
    request = keeper.state.requests.get(message.request_id)
    if request is not None:
        detail = "it was cancelled"
        conclude_request(keeper.state, request, Verdict.MAY_HAVE_RUN, detail, now)


def _receive_link_opened(keeper: Keeper, message: LinkOpened, now: float) -> None:
    link = keeper.links.get(message.agent)
    if link is not None:
        link.session = open_link(keeper.state, message.agent, now)


def _receive_link_closed(keeper: Keeper, message: LinkClosed, now: float) -> None:
    close_link(keeper.state, message.agent, message.session)


def _receive_frame(keeper: Keeper, message: AgentFrameReceived, now: float) -> None:
    receive_agent_frame(keeper.state, message.frame, now)


def _receive_discovered_agent(keeper: Keeper, message: AgentDiscovered, now: float) -> None:
    announcement = message.announcement
    discover_agent(keeper.state, announcement.agent, announcement.address, announcement.service)
    link = keeper.links.get(announcement.agent)
    if link is not None:
        link.reconnect_now.set()


def _receive_entries(keeper: Keeper, message: EntriesDiscovered, now: float) -> None:
    known = keeper.state.entries
    known.extend(address for address in message.addresses if address not in known)


def _receive_routes(keeper: Keeper, message: RoutesRead, now: float) -> None:
    state = keeper.state
    newer = choose_newer(state.routes, message.table)
    if newer is not state.routes:
        fields = {"version": newer.version, "before": state.routes.version}
        logger.info("routes in force", extra={"fields": fields})
        state.routes = newer
        state.routes_due_at = 0.0
        keeper.routes_text = message.text


def _receive_tick(keeper: Keeper, message: Tick, now: float) -> None:
    expire_agents(keeper.state, now)
    expire_cached_verdicts(keeper.state, now)
    refuse_unmeetable(keeper.state, now)


def _conclude_requests(keeper: Keeper, message: ConcludeRequests, now: float) -> None:
    for request in list(keeper.state.requests.values()):
        detail = "this entry ends"
        conclude_request(keeper.state, request, Verdict.MAY_HAVE_RUN, detail, now)


HANDLERS: dict[type, Callable[[Keeper, EntryStateMessage, float], None]] = {
    Submit: _receive_submit,
    CallerDisconnected: _receive_disconnect,
    Cancel: _receive_cancel,
    LinkOpened: _receive_link_opened,
    LinkClosed: _receive_link_closed,
    AgentFrameReceived: _receive_frame,
    AgentDiscovered: _receive_discovered_agent,
    EntriesDiscovered: _receive_entries,
    RoutesRead: _receive_routes,
    Tick: _receive_tick,
    ConcludeRequests: _conclude_requests,
}


def _flush(keeper: Keeper, now: float) -> None:
    state = keeper.state
    update_subset(state, now)
    place_waiting(state, now)
    collect_frames(state, now)
    effects, state.effects = state.effects, []
    for effect in effects:
        EFFECTS[type(effect)](keeper, effect, now)
    events, state.events = state.events, []
    for text, fields in events:
        logger.info(text, extra={"fields": fields})


def _send_frame(keeper: Keeper, effect: SendFrame, now: float) -> None:
    link = keeper.links.get(effect.agent)
    if link is not None:
        link.outbox.post(effect.frame)


def _open_link(keeper: Keeper, effect: OpenLink, now: float) -> None:
    link = Link(agent=effect.agent, address=effect.address, inbox=keeper.inbox)
    link.task = asyncio.create_task(run_link(link))
    keeper.links[effect.agent] = link


def _drop_link(keeper: Keeper, effect: DropLink, now: float) -> None:
    link = keeper.links.pop(effect.agent, None)
    if link is not None:
        link.task.cancel()


def _close_link(keeper: Keeper, effect: CloseLink, now: float) -> None:
    link = keeper.links.get(effect.agent)
    if link is not None and link.session == effect.session:
        link.outbox.post(None)


def _queue_routes_fetch(keeper: Keeper, effect: FetchRoutes, now: float) -> None:
    keeper.routes_sources.post(effect.address)


def _send_verdict(keeper: Keeper, effect: SendVerdict, now: float) -> None:
    future = keeper.pending_replies.pop(effect.caller, None)
    if future is None or future.done():
        return
    wait = math.ceil(effect.retry_at - now) if effect.retry_at else 0
    future.set_result(
        Reply(verdict=effect.verdict, detail=effect.detail, retry_seconds=max(0, wait))
    )


EFFECTS: dict[type, Callable[[Keeper, Effect, float], None]] = {
    SendVerdict: _send_verdict,
    SendFrame: _send_frame,
    CloseLink: _close_link,
    OpenLink: _open_link,
    DropLink: _drop_link,
    FetchRoutes: _queue_routes_fetch,
}
