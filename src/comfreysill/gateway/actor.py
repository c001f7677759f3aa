"""The asyncio task that owns the state of an entry on the platform and carries out its effects."""

import asyncio
import logging
import math
from collections.abc import Callable

from comfreysill.clock import read_boot_clock
from comfreysill.containment import MessageFailures, contain_nothing, handle_contained
from comfreysill.crashes.ledger import expire_crashes
from comfreysill.exchange.messages import Member, Role
from comfreysill.gateway.links import Link, build_agent_link, build_peer_link, run_link
from comfreysill.gateway.messages import (
    AgentFrameReceived,
    CallerDisconnected,
    Cancel,
    CancelReply,
    ClaimantDisconnected,
    ClaimRepliesReceived,
    ClaimsReceived,
    ConcludeRequests,
    CrashesRead,
    EntriesDiscovered,
    EntryStateMessage,
    Locate,
    MemberRemoved,
    MembersDiscovered,
    PeerRefused,
    PeerSessionClosed,
    PeerSessionOpened,
    Reply,
    RoutesRead,
    SessionClosed,
    SessionOpened,
    Submit,
    Tick,
    ZonesRead,
)
from comfreysill.gateway.registrar import ClaimantSession
from comfreysill.gateway.where import contain_locate, receive_locate
from comfreysill.mailbox import Mailbox
from comfreysill.placement.agents import (
    begin_session,
    collect_frames,
    contain_failed_frame,
    discover_agent,
    end_session,
    expire_agents,
    is_unknown,
    receive_agent_frame,
    release_agent,
)
from comfreysill.placement.cancelling import begin_cancellation
from comfreysill.placement.closed_services import refuse_without_zones
from comfreysill.placement.closures import is_in_closed_zone, read_zones
from comfreysill.placement.crashes import judge_crashes, receive_crash
from comfreysill.placement.effects import (
    ClosePeerSession,
    CloseSession,
    Effect,
    FetchRoutes,
    OpenLink,
    OpenPeerLink,
    RemoveLink,
    RemovePeerLink,
    SendCancelReply,
    SendClaimReplies,
    SendClaims,
    SendFrame,
    SendVerdict,
)
from comfreysill.placement.link_demand import update_links_by_need
from comfreysill.placement.peer_links import (
    begin_peer_session,
    collect_claims,
    end_peer_session,
    expire_replies,
    receive_replies,
    refuse_peer,
    update_peers,
)
from comfreysill.placement.placement import (
    is_current,
    is_usable,
    place_waiting,
    refuse_unmeetable,
)
from comfreysill.placement.registrar import close_claimant_session, receive_claims
from comfreysill.placement.requests import (
    conclude_remote_ends,
    conclude_request,
    disconnect_caller,
    expire_cached_verdicts,
    expire_requests,
    submit_request,
)
from comfreysill.placement.state import EntryState, note_event
from comfreysill.placement.subset import update_subset
from comfreysill.request.types import CallerWait, CancelOutcome, Specification, Verdict
from comfreysill.routes.table import choose_newer

logger = logging.getLogger(__name__)


class Actor:
    """State, mailbox and links of an entry.

    Only the state task, the asyncio task that runs `run_state_task`, changes the state, the links
    and the claimants.

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


async def run_state_task(actor: Actor) -> None:
    """Processes messages and carries out the resulting effects until it is cancelled."""
    while True:
        messages = await actor.inbox.get_batch()
        now = read_boot_clock()
        for message in messages:
            handle_contained(actor, message, now, HANDLERS, CONTAINMENT)
        # The process may have been suspended meanwhile.
        _flush(actor, read_boot_clock())


def _receive_submit(actor: Actor, message: Submit, now: float) -> None:
    submit_request(actor.state, message.caller, message.specification, now, message.wait)


def _receive_disconnect(actor: Actor, message: CallerDisconnected, now: float) -> None:
    if message.caller not in actor.state.callers:
        note_event(actor.state, "caller disconnected after its verdict", request=message.request_id)
    disconnect_caller(actor.state, message.caller, now)


def _receive_cancel(actor: Actor, message: Cancel, now: float) -> None:
    begin_cancellation(actor.state, message.canceller, message.request_id, now)


def _receive_session_opened(actor: Actor, message: SessionOpened, now: float) -> None:
    link = actor.links.get(message.agent)
    # The link may have been replaced by one to another address.
    if link is not None and link.address == message.address:
        link.session = begin_session(actor.state, message.agent, now)


def _receive_session_closed(actor: Actor, message: SessionClosed, now: float) -> None:
    end_session(actor.state, message.agent, message.session)


def _receive_frame(actor: Actor, message: AgentFrameReceived, now: float) -> None:
    if message.frame.agent != message.agent:
        reason = f"{message.frame.agent} answers at its address"
        release_agent(actor.state, message.agent, reason)
        return
    receive_agent_frame(actor.state, message.frame, now)


def _receive_peer_opened(actor: Actor, message: PeerSessionOpened, now: float) -> None:
    link = actor.peer_links.get(message.address)
    if link is not None:
        link.session = begin_peer_session(actor.state, message.address, now)


def _receive_peer_closed(actor: Actor, message: PeerSessionClosed, now: float) -> None:
    end_peer_session(actor.state, message.address, message.session, now)


def _receive_peer_refused(actor: Actor, message: PeerRefused, now: float) -> None:
    refuse_peer(actor.state, message.address, now)


def _receive_claim_replies(actor: Actor, message: ClaimRepliesReceived, now: float) -> None:
    receive_replies(actor.state, message.address, message.frame, now)


def _receive_claims(actor: Actor, message: ClaimsReceived, now: float) -> None:
    frame = message.frame
    session = actor.claimants.get(frame.entry)
    if session is None or session.number < frame.session:
        if session is not None:
            session.outbox.post(None)
        session = ClaimantSession(number=frame.session, outbox=message.outbox)
        actor.claimants[frame.entry] = session
    if frame.opening:
        _reconnect_peers(actor)
    if session.outbox is message.outbox:
        receive_claims(actor.state, frame, now)
    else:
        message.outbox.post(None)


def _reconnect_peers(actor: Actor) -> None:
    """Lets the links to entries out of reach be tried at once, as one of these may be up again."""
    for address, link in actor.peer_links.items():
        peer = actor.state.peers.get(address)
        if peer is not None and not peer.connected:
            link.reconnect_now.set()


def _receive_claimant_closed(actor: Actor, message: ClaimantDisconnected, now: float) -> None:
    for entry, session in list(actor.claimants.items()):
        if session.outbox is message.outbox:
            del actor.claimants[entry]
            close_claimant_session(actor.state, entry, session.number, now)


def _receive_members(actor: Actor, message: MembersDiscovered, now: float) -> None:
    for member in message.members:
        if member.role == Role.ENTRY:
            _add_entries(actor, [member.address])
            continue
        if message.second_hand and not is_unknown(actor.state, member.name, member.address):
            continue
        discover_agent(actor.state, member.name, member.address, member.service)
        link = actor.links.get(member.name)
        if link is not None:
            link.reconnect_now.set()


def _receive_member_removed(actor: Actor, message: MemberRemoved, now: float) -> None:
    release_agent(actor.state, message.name, "its row was removed")


def _receive_entries(actor: Actor, message: EntriesDiscovered, now: float) -> None:
    _add_entries(actor, message.addresses)


def _add_entries(actor: Actor, addresses: list[str]) -> None:
    known = actor.state.entries
    known.extend(address for address in addresses if address not in known)


def _receive_routes(actor: Actor, message: RoutesRead, now: float) -> None:
    state = actor.state
    newer = choose_newer(state.routes, message.table)
    if newer is not state.routes:
        fields = {"version": newer.version, "before": state.routes.version}
        logger.info("routes in force", extra={"fields": fields})
        state.routes = newer
        state.routes_due_at = 0.0
        actor.routes_text = message.text


def _receive_crashes(actor: Actor, message: CrashesRead, now: float) -> None:
    for report in message.reports:
        receive_crash(actor.state, report, now)


def _receive_zones(actor: Actor, message: ZonesRead, now: float) -> None:
    read_zones(actor.state, message.reading, now)


def _receive_tick(actor: Actor, message: Tick, now: float) -> None:
    expire_agents(actor.state, now)
    expire_replies(actor.state, now)
    expire_cached_verdicts(actor.state, now)
    judge_crashes(actor.state, now)
    expire_crashes(actor.state.crashes, now)
    refuse_without_zones(actor.state, now)
    refuse_unmeetable(actor.state, now)


def _receive_conclude_requests(actor: Actor, message: ConcludeRequests, now: float) -> None:
    for request in list(actor.state.requests.values()):
        detail = "this entry ends"
        conclude_request(actor.state, request, Verdict.MAY_HAVE_RUN, detail, now)


HANDLERS: dict[type, Callable[[Actor, EntryStateMessage, float], None]] = {
    Submit: _receive_submit,
    CallerDisconnected: _receive_disconnect,
    Cancel: _receive_cancel,
    Locate: receive_locate,
    SessionOpened: _receive_session_opened,
    SessionClosed: _receive_session_closed,
    AgentFrameReceived: _receive_frame,
    PeerSessionOpened: _receive_peer_opened,
    PeerSessionClosed: _receive_peer_closed,
    PeerRefused: _receive_peer_refused,
    ClaimRepliesReceived: _receive_claim_replies,
    ClaimsReceived: _receive_claims,
    ClaimantDisconnected: _receive_claimant_closed,
    MembersDiscovered: _receive_members,
    MemberRemoved: _receive_member_removed,
    EntriesDiscovered: _receive_entries,
    RoutesRead: _receive_routes,
    CrashesRead: _receive_crashes,
    ZonesRead: _receive_zones,
    Tick: _receive_tick,
    ConcludeRequests: _receive_conclude_requests,
}


def _contain_submit(actor: Actor, message: Submit, now: float) -> None:
    request = actor.state.requests.get(message.specification.request_id)
    if request is not None:
        conclude_request(actor.state, request, Verdict.MAY_HAVE_RUN, "internal error", now)
    actor.state.callers.pop(message.caller, None)
    verdict = SendVerdict(
        caller=message.caller, verdict=Verdict.MAY_HAVE_RUN, detail="internal error"
    )
    actor.state.effects.append(verdict)


def _contain_cancel(actor: Actor, message: Cancel, now: float) -> None:
    actor.state.cancellations.pop(message.request_id, None)
    reply = SendCancelReply(canceller=message.canceller, outcome=CancelOutcome.UNCERTAIN)
    actor.state.effects.append(reply)


def _contain_frame(actor: Actor, message: AgentFrameReceived, now: float) -> None:
    contain_failed_frame(actor.state, message.agent, now)


def _contain_replies(actor: Actor, message: ClaimRepliesReceived, now: float) -> None:
    # The first frame of the next session repeats the claims.
    link = actor.peer_links.get(message.address)
    if link is not None:
        link.outbox.post(None)


def _contain_claims(actor: Actor, message: ClaimsReceived, now: float) -> None:
    message.outbox.post(None)


CONTAINMENT: dict[type, Callable[[Actor, EntryStateMessage, float], None]] = {
    Submit: _contain_submit,
    Cancel: _contain_cancel,
    Locate: contain_locate,
    AgentFrameReceived: _contain_frame,
    ClaimRepliesReceived: _contain_replies,
    ClaimsReceived: _contain_claims,
    MembersDiscovered: contain_nothing,
    MemberRemoved: contain_nothing,
    EntriesDiscovered: contain_nothing,
    RoutesRead: contain_nothing,
    CrashesRead: contain_nothing,
    ZonesRead: contain_nothing,
}


def _flush(actor: Actor, now: float) -> None:
    state = actor.state
    update_subset(state, now)
    update_peers(state, now)
    conclude_remote_ends(state, now)
    expire_requests(state, now)
    place_waiting(state, now)
    update_links_by_need(state, now)
    collect_frames(state, now)
    collect_claims(state, now)
    effects, state.effects = state.effects, []
    for effect in effects:
        EFFECTS[type(effect)](actor, effect, now)
    events, state.events = state.events, []
    for text, fields in events:
        logger.info(text, extra={"fields": fields})


def _send_frame(actor: Actor, effect: SendFrame, now: float) -> None:
    link = actor.links.get(effect.agent)
    if link is not None:
        link.outbox.post(effect.frame)


def _open_link(actor: Actor, effect: OpenLink, now: float) -> None:
    link = build_agent_link(effect.agent, effect.address, actor.inbox)
    link.task = asyncio.create_task(run_link(link))
    actor.links[effect.agent] = link


def _remove_link(actor: Actor, effect: RemoveLink, now: float) -> None:
    link = actor.links.pop(effect.agent, None)
    if link is not None:
        link.task.cancel()


def _close_session(actor: Actor, effect: CloseSession, now: float) -> None:
    link = actor.links.get(effect.agent)
    if link is not None and link.session == effect.session:
        # None closes the session.
        link.outbox.post(None)


def _open_peer_link(actor: Actor, effect: OpenPeerLink, now: float) -> None:
    link = build_peer_link(effect.address, actor.inbox)
    link.task = asyncio.create_task(run_link(link))
    actor.peer_links[effect.address] = link


def _remove_peer_link(actor: Actor, effect: RemovePeerLink, now: float) -> None:
    link = actor.peer_links.pop(effect.address, None)
    if link is not None:
        link.task.cancel()


def _close_peer_session(actor: Actor, effect: ClosePeerSession, now: float) -> None:
    link = actor.peer_links.get(effect.address)
    if link is not None and link.session == effect.session:
        link.outbox.post(None)


def _send_claims(actor: Actor, effect: SendClaims, now: float) -> None:
    link = actor.peer_links.get(effect.address)
    if link is not None:
        link.outbox.post(effect.frame)


def _send_claim_replies(actor: Actor, effect: SendClaimReplies, now: float) -> None:
    session = actor.claimants.get(effect.entry)
    if session is not None and session.number == effect.frame.session:
        session.outbox.post(effect.frame)


def _queue_routes_fetch(actor: Actor, effect: FetchRoutes, now: float) -> None:
    actor.routes_sources.post(effect.address)


def _send_verdict(actor: Actor, effect: SendVerdict, now: float) -> None:
    future = actor.pending_replies.pop(effect.caller, None)
    if future is None or future.done():
        return
    wait_seconds = math.ceil(effect.retry_at - now) if effect.retry_at else 0
    future.set_result(
        Reply(verdict=effect.verdict, detail=effect.detail, retry_seconds=max(0, wait_seconds))
    )


def _send_cancel_reply(actor: Actor, effect: SendCancelReply, now: float) -> None:
    future = actor.pending_cancels.pop(effect.canceller, None)
    if future is not None and not future.done():
        wait_seconds = math.ceil(effect.retry_at - now) if effect.retry_at else 0
        future.set_result(CancelReply(outcome=effect.outcome, retry_seconds=max(0, wait_seconds)))


EFFECTS: dict[type, Callable[[Actor, Effect, float], None]] = {
    SendVerdict: _send_verdict,
    SendCancelReply: _send_cancel_reply,
    SendFrame: _send_frame,
    CloseSession: _close_session,
    OpenLink: _open_link,
    RemoveLink: _remove_link,
    FetchRoutes: _queue_routes_fetch,
    OpenPeerLink: _open_peer_link,
    RemovePeerLink: _remove_peer_link,
    ClosePeerSession: _close_peer_session,
    SendClaims: _send_claims,
    SendClaimReplies: _send_claim_replies,
}
