"""Links of an entry to the entries that keep its claims: sessions, and the frames to each."""

import math

from comfreysill.claims.registry import expire_claims, get_instance
from comfreysill.exchange.claims import ClaimRepliesFrame, ClaimsFrame
from comfreysill.exchange.messages import RUN_EXPIRY_SECONDS
from comfreysill.placement.cancelling import (
    expire_cancellings,
    list_known_cancellations,
    receive_cancellation_reply,
    tell_new_peer,
)
from comfreysill.placement.claim_leases import record_action, record_echo
from comfreysill.placement.claims import (
    add_replica,
    begin_claims,
    build_claim,
    expire_replicas,
    lose_replicas,
    move_replicas,
    receive_reply,
)
from comfreysill.placement.effects import (
    ClosePeerSession,
    OpenPeerLink,
    RemovePeerLink,
    SendClaims,
)
from comfreysill.placement.peers import Peer, ReplicaState, is_failing, rank_peer
from comfreysill.placement.registrar import deliver_late_replies
from comfreysill.placement.state import EntryState, count, note_event

# So many entries that can be reached keep claims; all entries choose the same ones as far as they
# know the same ones.
MAX_REGISTRARS = 16
# An entry that hasn't answered a claim for so long isn't asked until it sends something.
OVERDUE_REPLY_SECONDS = 0.2
# After so long its session is closed, and the link reconnected.
PEER_SILENCE_SECONDS = 1.0
# An entry that starts waits this long for the links to its peers before it places tasks.
LINKING_SECONDS = 0.5
# A registrar is sent a frame at least this often while it keeps a claim of this entry.
HEARTBEAT_SECONDS = 0.4
# Overdue replies are not looked for until so long after a suspension of this process.
RESUMPTION_SECONDS = 0.15


def update_peers(state: EntryState, now: float) -> None:
    """Requests links to the entries that are to keep claims, and removes the others.

    This entry's own address is the first in `state.entries`.
    """
    record_action(state, now)
    if not state.linking_until:
        state.linking_until = now + LINKING_SECONDS
    chosen = _choose_peers(state, now)
    for address in chosen:
        if address not in state.peers:
            state.peers[address] = Peer(address=address, now=now)
            state.effects.append(OpenPeerLink(address=address))
    for address in [address for address in state.peers if address not in chosen]:
        lose_replicas(state, address, now)
        del state.peers[address]
        state.effects.append(RemovePeerLink(address=address))


def _choose_peers(state: EntryState, now: float) -> set[str]:
    """Returns the addresses of the entries that keep claims; also decides whether this one does."""
    chosen = set()
    needed_count = MAX_REGISTRARS
    state.is_registrar = False
    for address in sorted(state.entries, key=rank_peer):
        if needed_count <= 0:
            break
        if address == state.entries[0]:
            state.is_registrar = True
            needed_count -= 1
            continue
        chosen.add(address)
        peer = state.peers.get(address)
        needed_count -= peer is None or not (peer.duplicate or is_failing(peer, now))
    return chosen


def begin_peer_session(state: EntryState, address: str, now: float) -> int:
    """Records that a session with a registrar was opened; queues the first frame.

    Returns:
        The session number, which each frame carries.
    """
    peer = state.peers[address]
    state.last_peer_session += 1
    peer.session = state.last_peer_session
    peer.connected = True
    peer.usable = peer.refused = False
    peer.opened_at = now
    peer.owes_since = math.inf
    peer.asked_at = now
    peer.confirmed_at = peer.confirmed_since = now
    peer.claims.clear()
    peer.cancellations.clear()
    open_claims = [
        build_claim(state, claim, replica, now)
        for claim in state.claims.values()
        for replica in claim.replicas
        if replica.address == address and replica.state != ReplicaState.WITHDRAWN
    ]
    frame = ClaimsFrame(
        entry=state.name,
        session=peer.session,
        opening=True,
        claims=open_claims,
        releases=peer.releases,
        cancellations=list_known_cancellations(state, now),
        sent_at=now,
    )
    peer.releases = []
    state.effects.append(SendClaims(address=address, frame=frame))
    return peer.session


def refuse_peer(state: EntryState, address: str, now: float) -> None:
    """Records that no process listens at the address of an entry; see `is_witnessed`.

    While this entry starts, its claims wait no longer for the link.
    """
    peer = state.peers.get(address)
    if peer is None or peer.connected or peer.refused:
        return
    peer.refused = True
    count(state, "peers_refused")
    begin_claims(state, now)


def receive_replies(state: EntryState, address: str, frame: ClaimRepliesFrame, now: float) -> None:
    """Processes a frame from the registrar at an address."""
    peer = state.peers.get(address)
    if peer is None or frame.session != peer.session:
        count(state, "frames_stale")
        return
    peer.owes_since = math.inf
    was_complete = peer.complete
    echo = record_echo(peer, frame, now)
    if not peer.usable:
        _begin_use(state, peer, frame, now)
    for reply in frame.replies:
        receive_reply(state, address, reply, now, echo)
    for reply in frame.cancellations:
        receive_cancellation_reply(state, address, frame.entry, reply, now)
    if peer.complete and not was_complete:
        expire_replicas(state, now)


def _begin_use(state: EntryState, peer: Peer, frame: ClaimRepliesFrame, now: float) -> None:
    peer.name = get_instance(frame.entry)
    if peer.name == get_instance(state.name):
        _drop_duplicate(state, peer)
        return
    for other in state.peers.values():
        if other.name == peer.name and other.usable:
            # The registrar has replaced that session by this one.
            _drop_duplicate(state, other)
            move_replicas(state, other, peer, now)
    peer.usable = True
    peer.unreachable_since = 0.0
    note_event(state, "peer linked", peer=frame.entry, address=peer.address)
    for claim in state.claims.values():
        add_replica(state, claim, peer, now)
    tell_new_peer(state, peer)
    begin_claims(state, now)


def _drop_duplicate(state: EntryState, peer: Peer) -> None:
    """Removes the link to an entry that is this one itself, or is reached at another address."""
    peer.connected = peer.usable = False
    peer.duplicate = True
    state.effects.append(RemovePeerLink(address=peer.address))


def end_peer_session(state: EntryState, address: str, session: int, now: float) -> None:
    """Records that a session with a registrar was closed."""
    peer = state.peers.get(address)
    if peer is None or peer.duplicate or peer.session != session:
        return
    peer.connected = False
    peer.releases = [release for release in peer.releases if release.verdict is not None]
    if peer.usable:
        peer.unreachable_since = now
        note_event(state, "peer lost", peer=peer.name, address=address)
    peer.usable = False
    lose_replicas(state, address, now)
    _forget_duplicates(state, peer)


def _forget_duplicates(state: EntryState, peer: Peer) -> None:
    """Lets the other addresses of an entry that was lost be tried again."""
    for other in list(state.peers.values()):
        if other.duplicate and other.name == peer.name:
            del state.peers[other.address]


def expire_replies(state: EntryState, now: float) -> None:
    """Leaves out the registrars that owe a reply for too long; ends old claims of the registry."""
    if now - state.resumed_at < RESUMPTION_SECONDS:
        return
    expire_claims(state.registry, now, RUN_EXPIRY_SECONDS)
    begin_claims(state, now)
    expire_replicas(state, now)
    _suspend_use(state, now)
    _close_silent_sessions(state, now)
    expire_cancellings(state, now)
    _mark_heartbeats(state, now)


def _suspend_use(state: EntryState, now: float) -> None:
    """Leaves out the peers that owe a reply; they are used again once they have sent one."""
    for peer in state.peers.values():
        if peer.usable and now - peer.owes_since > OVERDUE_REPLY_SECONDS:
            count(state, "peers_silent")
            note_event(state, "peer is silent", peer=peer.name, address=peer.address)
            peer.usable = False
            peer.unreachable_since = now


def _close_silent_sessions(state: EntryState, now: float) -> None:
    for peer in list(state.peers.values()):
        silent_since = max(peer.opened_at, peer.unreachable_since)
        is_silent = not peer.usable and now - silent_since > PEER_SILENCE_SECONDS
        if peer.connected and is_silent:
            _send_closing_frame(state, peer)
            state.effects.append(ClosePeerSession(address=peer.address, session=peer.session))
            end_peer_session(state, peer.address, peer.session, now)


def _send_closing_frame(state: EntryState, peer: Peer) -> None:
    """Queues the frame that tells a registrar that this process goes on without the session."""
    frame = ClaimsFrame(
        entry=state.name,
        session=peer.session,
        opening=False,
        claims=[],
        releases=peer.releases,
        closing=True,
    )
    peer.releases = []
    state.effects.append(SendClaims(address=peer.address, frame=frame))


def _mark_heartbeats(state: EntryState, now: float) -> None:
    kept = {replica.address for claim in state.claims.values() for replica in claim.replicas}
    # Claims that aren't settled may wait for a registrar that doesn't know all claims yet.
    asking = {
        replica.address
        for claim in state.claims.values()
        if claim.begun and not claim.settled
        for replica in claim.replicas
    }
    for peer in state.peers.values():
        is_awaited = peer.address in asking and peer.usable and not peer.complete
        is_old = now - peer.asked_at >= HEARTBEAT_SECONDS
        peer.heartbeat_due = peer.address in kept and (is_old or is_awaited)


def collect_claims(state: EntryState, now: float) -> None:
    """Queues the frames to registrars, and the late replies to claimants."""
    deliver_late_replies(state, now)
    for peer in state.peers.values():
        has_news = peer.claims or peer.releases or peer.cancellations or peer.heartbeat_due
        if not peer.connected or not has_news:
            continue
        is_asking = bool(peer.claims or peer.cancellations or peer.heartbeat_due)
        peer.asked_at = now if is_asking else peer.asked_at
        peer.heartbeat_due = False
        frame = ClaimsFrame(
            entry=state.name,
            session=peer.session,
            opening=False,
            claims=list(peer.claims.values()),
            releases=peer.releases,
            cancellations=peer.cancellations,
            sent_at=now if is_asking else 0.0,
        )
        if peer.claims or peer.cancellations:
            peer.owes_since = min(peer.owes_since, now)
        peer.claims, peer.releases, peer.cancellations = {}, [], []
        state.effects.append(SendClaims(address=peer.address, frame=frame))
