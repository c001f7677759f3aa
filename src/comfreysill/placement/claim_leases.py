"""Leases of claims: until when an entry may act on what registrars have granted.

A holder that stands still, or is cut off, doesn't learn that its claims have ended and that another
entry runs its requests. So its right to place tasks ends on its own clock, before any registrar
grants them to another entry: CLAIM_LEASE_SECONDS after the sending of the newest frame that a
registrar of the request has answered. Frames and their answers confirm all claims at a registrar.

A registrar that has just started, or has stood still, doesn't know all claims; that it grants one
proves nothing for RUN_EXPIRY_SECONDS.
"""

from comfreysill.claims.registry import get_instance
from comfreysill.exchange.claims import ClaimRepliesFrame
from comfreysill.exchange.messages import CLAIM_LEASE_SECONDS, RUN_EXPIRY_SECONDS
from comfreysill.placement.peers import OwnClaim, Peer, Replica, ReplicaState, rank_registrar
from comfreysill.placement.starting import REGISTRARS, count_unknown
from comfreysill.placement.state import EntryState, count, note_event


def record_action(state: EntryState, now: float) -> None:
    """Records that this process acts; has to precede each placement."""
    gap_seconds = now - state.acted_at
    is_first = not state.acted_at
    state.acted_at = now
    if is_first:
        state.registry.complete_at = now + RUN_EXPIRY_SECONDS
    elif gap_seconds >= CLAIM_LEASE_SECONDS:
        state.stood_still_until = now
        state.registry.complete_at = now + RUN_EXPIRY_SECONDS
        count(state, "pauses")
        note_event(state, "entry stood still", seconds=round(gap_seconds, 3))


def record_echo(peer: Peer, frame: ClaimRepliesFrame, now: float) -> float:
    """Records that a registrar has answered a frame.

    Returns:
        Boot-clock time in seconds at which that frame was sent, 0 if the answer doesn't tell.
    """
    echo = min(frame.echo, now)
    peer.complete = frame.complete
    if now >= peer.confirmed_at + CLAIM_LEASE_SECONDS:
        peer.confirmed_since = echo
    peer.confirmed_at = max(peer.confirmed_at, echo)
    return echo


def find_lease_end(state: EntryState, claim: OwnClaim) -> float:
    """Returns the boot-clock time in seconds until which this entry may act on a claim.

    Without another registrar, a claim lasts until this entry stands still; its end is 0 after that.
    """
    granted = [replica for replica in claim.replicas if replica.state == ReplicaState.GRANTED]
    remote = [replica for replica in granted if replica.address]
    if remote:
        return max(_find_end_at_registrar(state, replica) for replica in remote)
    own = [replica.sent_at for replica in granted if replica.sent_at >= state.stood_still_until]
    return max(state.acted_at, *own) + CLAIM_LEASE_SECONDS if own else 0.0


def _find_end_at_registrar(state: EntryState, replica: Replica) -> float:
    """Returns the boot-clock time in seconds until which a registrar has confirmed a claim."""
    confirmed_at = replica.sent_at
    peer = state.peers.get(replica.address)
    if peer is not None and replica.sent_at >= peer.confirmed_since:
        confirmed_at = max(confirmed_at, peer.confirmed_at)
    return confirmed_at + CLAIM_LEASE_SECONDS


def list_lapse_witnesses(state: EntryState, now: float) -> list[str]:
    """Returns the addresses of the entries that may know who runs a request whose claim has lapsed.

    The address of this entry itself is empty.
    """
    peers = [peer for peer in state.peers.values() if peer.name and not peer.duplicate]
    known = [peer for peer in peers if peer.connected or _is_counted(peer, now)]
    return ["", *(peer.address for peer in known)]


def _is_counted(peer: Peer, now: float) -> bool:
    """Returns whether other entries may count on a peer, as it is usable or was lately."""
    return peer.usable or now - peer.unreachable_since < RUN_EXPIRY_SECONDS


def is_witnessed(state: EntryState, claim: OwnClaim, now: float) -> bool:
    """Returns whether a claim was granted where each earlier holder must have claimed it as well.

    That is a registrar of the request by the ranking in which those count that were lost lately,
    and that knows all claims it may have granted. While this entry starts, each entry that isn't up
    may rank before those that are: its name isn't known.
    """
    if len(state.entries) < REGISTRARS:
        return True
    own_instance = get_instance(state.name)
    instances = {peer.name for peer in state.peers.values() if peer.name and _is_counted(peer, now)}
    if state.is_registrar or not instances:
        instances.add(own_instance)
    request_id = claim.request.specification.request_id
    ranked = sorted(instances, key=lambda instance: rank_registrar(instance, request_id))
    chosen = set(ranked[: max(0, REGISTRARS - count_unknown(state, now))])
    for replica in claim.replicas:
        peer = state.peers.get(replica.address)
        instance = peer.name if peer is not None else own_instance
        knows_all = peer.complete if peer is not None else is_complete(state, now)
        if replica.state == ReplicaState.GRANTED and instance in chosen and knows_all:
            return True
    return False


def is_complete(state: EntryState, now: float) -> bool:
    """Returns whether this entry, as a registrar, knows all claims that it may have granted.

    After its start it does once all entries have repeated theirs.
    """
    if now >= state.registry.complete_at:
        return True
    if state.stood_still_until:
        return False
    own_instance = get_instance(state.name)
    claimants = {get_instance(entry) for entry in state.claimants} - {own_instance}
    return len(claimants) >= len(state.entries) - 1
