"""What the state task of an entry does with each message, and with a failure of that."""

import logging
from collections.abc import Callable

from comfreysill.containment import contain_nothing
from comfreysill.crashes.ledger import expire_crashes
from comfreysill.exchange.messages import Role
from comfreysill.gateway.actor import Actor
from comfreysill.gateway.messages import (
    AgentFrameReceived,
    CallerDisconnected,
    Cancel,
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
    RoutesRead,
    SessionClosed,
    SessionOpened,
    Submit,
    Tick,
    ZonesRead,
)
from comfreysill.gateway.registrar import ClaimantSession
from comfreysill.gateway.where import contain_locate, receive_locate
from comfreysill.placement.agents import (
    begin_session,
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
from comfreysill.placement.closures import read_zones
from comfreysill.placement.crashes import judge_crashes, receive_crash
from comfreysill.placement.effects import (
    SendCancelReply,
    SendVerdict,
)
from comfreysill.placement.peer_links import (
    begin_peer_session,
    end_peer_session,
    expire_replies,
    receive_replies,
    refuse_peer,
)
from comfreysill.placement.placement import (
    refuse_unmeetable,
)
from comfreysill.placement.registrar import close_claimant_session, receive_claims
from comfreysill.placement.requests import (
    conclude_request,
    disconnect_caller,
    expire_cached_verdicts,
    submit_request,
)
from comfreysill.placement.state import note_event
from comfreysill.request.types import CancelOutcome, Verdict
from comfreysill.routes.table import choose_newer

logger = logging.getLogger(__name__)


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
