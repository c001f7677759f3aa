"""The task that owns an entry's desk."""

import asyncio
import logging
import math
from collections.abc import Callable

from comfreysill.clock import read_boot_clock
from comfreysill.gateway.links import Link, run_link
from comfreysill.gateway.messages import (
    AgentFound,
    AgentReported,
    CallerLeft,
    Cancel,
    DeskMessage,
    EntriesFound,
    GiveUp,
    LinkClosed,
    LinkOpened,
    Reply,
    RoutesRead,
    Submit,
    Tick,
)
from comfreysill.mailbox import Mailbox
from comfreysill.placing.agents import (
    close_link,
    collect_frames,
    discover_agent,
    expire_agents,
    open_link,
    receive_agent_frame,
)
from comfreysill.placing.desk import (
    AskRoutes,
    CloseLink,
    Desk,
    DropLink,
    Effect,
    OpenLink,
    SendFrame,
    TellCaller,
)
from comfreysill.placing.panel import adjust_panel
from comfreysill.placing.placement import is_usable, place_waiting, refuse_hopeless
from comfreysill.placing.requests import (
    abandon_caller,
    conclude_request,
    expire_requests,
    submit_request,
)
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import choose_newer

logger = logging.getLogger(__name__)


class Keeper:
    """State of the task that owns the desk.

    Attributes:
        desk: The desk.
        inbox: Messages from the other tasks of the process.
        links: Open or opening links by agent.
        replies: Future replies by caller.
        numbers: Number of the last caller.
        routes_text: The routing document in force as it was read.
        asks: Addresses of entries to ask for their routing document.
        closing: True once the process ends.
    """

    __slots__ = (
        "desk",
        "inbox",
        "links",
        "replies",
        "numbers",
        "routes_text",
        "asks",
        "closing",
    )

    def __init__(self, *, desk: Desk) -> None:
        self.desk = desk
        self.inbox: Mailbox[DeskMessage] = Mailbox()
        self.links: dict[str, Link] = {}
        self.replies: dict[int, asyncio.Future[Reply]] = {}
        self.numbers = 0
        self.routes_text = b""
        self.asks: Mailbox[str] = Mailbox()
        self.closing = False


def submit(keeper: Keeper, specification: Specification) -> tuple[int, asyncio.Future[Reply]]:
    """Hands a request to the desk; the future gets its reply."""
    keeper.numbers += 1
    number = keeper.numbers
    future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
    keeper.replies[number] = future
    keeper.inbox.post(Submit(caller=number, specification=specification))
    return number, future


def leave(keeper: Keeper, number: int) -> None:
    """Tells the desk that a caller has left."""
    keeper.replies.pop(number, None)
    keeper.inbox.post(CallerLeft(caller=number))


def is_ready(keeper: Keeper, taking: bool) -> bool:
    """Tells whether callers should be sent here.

    Args:
        keeper: State of the desk's task.
        taking: True once the callers' port takes connections.
    """
    desk = keeper.desk
    if keeper.closing or not taking or not desk.routes.version:
        return False
    now = read_boot_clock()
    return any(is_usable(agent, now) for agent in desk.agents.values())


async def keep_desk(keeper: Keeper) -> None:
    """Runs the task until it is cancelled."""
    while True:
        messages = await keeper.inbox.get_batch()
        now = read_boot_clock()
        for message in messages:
            HANDLERS[type(message)](keeper, message, now)
        _flush(keeper, now)


def _receive_submit(keeper: Keeper, message: Submit, now: float) -> None:
    submit_request(keeper.desk, message.caller, message.specification, now)


def _receive_left(keeper: Keeper, message: CallerLeft, now: float) -> None:
    abandon_caller(keeper.desk, message.caller, now)


def _receive_cancel(keeper: Keeper, message: Cancel, now: float) -> None:
    request = keeper.desk.requests.get(message.request_id)
    if request is not None:
        detail = "it was cancelled"
        conclude_request(keeper.desk, request, Verdict.MAY_HAVE_RUN, detail, now)


def _receive_opened(keeper: Keeper, message: LinkOpened, now: float) -> None:
    link = keeper.links.get(message.agent)
    if link is not None:
        link.session = open_link(keeper.desk, message.agent, now)


def _receive_closed(keeper: Keeper, message: LinkClosed, now: float) -> None:
    close_link(keeper.desk, message.agent, message.session)


def _receive_report(keeper: Keeper, message: AgentReported, now: float) -> None:
    receive_agent_frame(keeper.desk, message.frame, now)


def _receive_found(keeper: Keeper, message: AgentFound, now: float) -> None:
    found = message.announcement
    discover_agent(keeper.desk, found.agent, found.address, found.service)
    link = keeper.links.get(found.agent)
    if link is not None:
        link.wake.set()


def _receive_entries(keeper: Keeper, message: EntriesFound, now: float) -> None:
    known = keeper.desk.entries
    known.extend(address for address in message.addresses if address not in known)


def _receive_routes(keeper: Keeper, message: RoutesRead, now: float) -> None:
    desk = keeper.desk
    newer = choose_newer(desk.routes, message.table)
    if newer is not desk.routes:
        fields = {"version": newer.version, "before": desk.routes.version}
        logger.info("routes in force", extra={"fields": fields})
        desk.routes = newer
        desk.routes_due_at = 0.0
        keeper.routes_text = message.text


def _receive_tick(keeper: Keeper, message: Tick, now: float) -> None:
    expire_agents(keeper.desk, now)
    expire_requests(keeper.desk, now)
    refuse_hopeless(keeper.desk, now)


def _receive_give_up(keeper: Keeper, message: GiveUp, now: float) -> None:
    for request in list(keeper.desk.requests.values()):
        detail = "this entry ends"
        conclude_request(keeper.desk, request, Verdict.MAY_HAVE_RUN, detail, now)


HANDLERS: dict[type, Callable[[Keeper, DeskMessage, float], None]] = {
    Submit: _receive_submit,
    CallerLeft: _receive_left,
    Cancel: _receive_cancel,
    LinkOpened: _receive_opened,
    LinkClosed: _receive_closed,
    AgentReported: _receive_report,
    AgentFound: _receive_found,
    EntriesFound: _receive_entries,
    RoutesRead: _receive_routes,
    Tick: _receive_tick,
    GiveUp: _receive_give_up,
}


def _flush(keeper: Keeper, now: float) -> None:
    desk = keeper.desk
    adjust_panel(desk, now)
    place_waiting(desk, now)
    collect_frames(desk, now)
    effects, desk.effects = desk.effects, []
    for effect in effects:
        EFFECTS[type(effect)](keeper, effect, now)
    events, desk.events = desk.events, []
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


def _ask_routes(keeper: Keeper, effect: AskRoutes, now: float) -> None:
    keeper.asks.post(effect.address)


def _tell_caller(keeper: Keeper, effect: TellCaller, now: float) -> None:
    future = keeper.replies.pop(effect.caller, None)
    if future is None or future.done():
        return
    wait = math.ceil(effect.retry_at - now) if effect.retry_at else 0
    future.set_result(
        Reply(verdict=effect.verdict, detail=effect.detail, retry_seconds=max(0, wait))
    )


EFFECTS: dict[type, Callable[[Keeper, Effect, float], None]] = {
    TellCaller: _tell_caller,
    SendFrame: _send_frame,
    CloseLink: _close_link,
    OpenLink: _open_link,
    DropLink: _drop_link,
    AskRoutes: _ask_routes,
}
