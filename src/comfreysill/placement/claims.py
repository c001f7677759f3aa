"""Claims of an entry: no task of a request is placed before its registrars know of it.

Callers may send a request again to another entry, and this one may not hear that they have left, or
read a request long after its sending. So each request has two registrars among the entries that can
be reached, which all entries choose alike. Another entry that has the claim is waited for. One
that doesn't answer is left out; callers' waits and the leases bound what runs then.
"""

import math

from comfreysill.claims.registry import get_instance, receive_claim, receive_release
from comfreysill.exchange.claims import ClaimRelease, ClaimReply, ClaimRequest, ClaimStatus
from comfreysill.exchange.messages import MAX_STOP_SECONDS, RUN_EXPIRY_SECONDS
from comfreysill.placement.claim_leases import (
    find_lease_end,
    is_complete,
    is_witnessed,
    list_lapse_witnesses,
)
from comfreysill.placement.deadlines import extend_request
from comfreysill.placement.peers import (
    OwnClaim,
    Peer,
    RemoteEnd,
    Replica,
    ReplicaState,
    rank_registrar,
)
from comfreysill.placement.queue import push_request
from comfreysill.placement.starting import REGISTRARS, is_everyone_asked, is_linking
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.request.request import Request
from comfreysill.request.types import FINAL_VERDICTS, Verdict

# Another registrar is asked in place of one that hasn't answered a claim for this long.
CLAIM_TIMEOUT_SECONDS = 0.05
# Where all entries are asked, their answers are waited for so long at the most.
MAX_LAPSE_SECONDS = 0.5
# A request isn't extended by less than this for the callers of other entries.
MIN_EXTENSION_SECONDS = 0.1
# At most this many verdicts are kept for a registrar without a session.
MAX_KEPT_RELEASES = 1000
ANSWERED_STATES = frozenset({ReplicaState.GRANTED, ReplicaState.LOST})


def claim_request(state: EntryState, request: Request, now: float) -> None:
    """Claims a request; it is queued for placement once all of its registrars have granted it."""
    claim = OwnClaim(request=request)
    state.claims[request.specification.request_id] = claim
    if not is_linking(state, now):
        _begin_claim(state, claim, now)


def begin_claims(state: EntryState, now: float) -> None:
    """Begins the claims that wait for the links to the first peers, unless they still may."""
    if is_linking(state, now):
        return
    for claim in state.claims.values():
        if not claim.begun:
            _begin_claim(state, claim, now)


def _begin_claim(state: EntryState, claim: OwnClaim, now: float) -> None:
    claim.begun = True
    claim.made_at = now
    addresses = _rank_registrars(state, claim.request.specification.request_id)
    if is_everyone_asked(state, now):
        claim.renewed_until = now + MAX_LAPSE_SECONDS
    else:
        addresses = addresses[:REGISTRARS]
    claim.replicas = [Replica(address=address) for address in addresses]
    for number, replica in enumerate(claim.replicas):
        _send_claim(state, claim, replica, now)
        if replica.state == ReplicaState.HELD:
            for following in claim.replicas[number + 1 :]:
                following.state = ReplicaState.WITHDRAWN
            return
    _settle(state, claim, now)


def renew_claim(state: EntryState, request: Request, now: float) -> None:
    """Tells the registrars of a request that its tasks may run for longer than they were told."""
    claim = state.claims.get(request.specification.request_id)
    if claim is None:
        return
    for replica in claim.replicas:
        if replica.state != ReplicaState.WITHDRAWN:
            _post_claim(state, claim, replica, now)


def release_claim(state: EntryState, request: Request, now: float) -> None:
    """Ends the claim of a request of which nothing runs any more, if there is one."""
    request_id = request.specification.request_id
    claim = state.claims.get(request_id)
    if claim is None or claim.request is not request:
        return
    del state.claims[request_id]
    verdict = request.verdict if request.verdict in FINAL_VERDICTS else None
    for replica in claim.replicas:
        if replica.state != ReplicaState.WITHDRAWN:
            _send_release(state, request_id, replica, verdict, now)


def is_contested(state: EntryState, request: Request) -> bool:
    """Returns whether another entry had the claim of an open request."""
    claim = state.claims.get(request.specification.request_id)
    return claim is not None and claim.contested


def is_awaited(state: EntryState, request: Request, now: float) -> bool:
    """Returns whether another entry waits for a request that this one has."""
    claim = state.claims.get(request.specification.request_id)
    if claim is None or claim.request is not request:
        return False
    return any(until > now for until in claim.awaited_until.values())


def _rank_registrars(state: EntryState, request_id: str) -> list[str]:
    """Returns the addresses of the entries that can keep a claim, in the order of their choice.

    The address of this entry itself is empty.
    """
    addresses = {peer.name: peer.address for peer in state.peers.values() if peer.usable}
    if state.is_registrar or not addresses:
        addresses[get_instance(state.name)] = ""
    if len(addresses) < REGISTRARS:
        # Those that owe a reply are better than none.
        silent = [peer for peer in state.peers.values() if peer.connected and not peer.usable]
        addresses |= {peer.name: peer.address for peer in silent if peer.name}
    ranked = sorted(addresses, key=lambda instance: rank_registrar(instance, request_id))
    return [addresses[instance] for instance in ranked]


def _send_claim(state: EntryState, claim: OwnClaim, replica: Replica, now: float) -> None:
    state.last_claim_number += 1
    replica.number = state.last_claim_number
    replica.state = ReplicaState.PENDING
    replica.sent_at = now
    replica.timeout_at = max(now + CLAIM_TIMEOUT_SECONDS, claim.renewed_until)
    _post_claim(state, claim, replica, now)


def _post_claim(state: EntryState, claim: OwnClaim, replica: Replica, now: float) -> None:
    request = build_claim(state, claim, replica, now)
    if not replica.address:
        reply = receive_claim(state.registry, state.name, request, now, is_complete(state, now))
        _apply_reply(state, claim, replica, reply, now)
        return
    peer = state.peers.get(replica.address)
    if peer is not None and peer.connected:
        peer.claims[request.number] = request


def build_claim(state: EntryState, claim: OwnClaim, replica: Replica, now: float) -> ClaimRequest:
    """Builds what a registrar is told of a claim."""
    return ClaimRequest(
        request_id=claim.request.specification.request_id,
        number=replica.number,
        seconds=max(0.0, claim.request.stop_at + MAX_STOP_SECONDS - now),
        settled=claim.settled and claim.settled_at >= state.stood_still_until,
    )


def _send_release(
    state: EntryState, request_id: str, replica: Replica, verdict: Verdict | None, now: float
) -> None:
    release = ClaimRelease(request_id=request_id, number=replica.number, verdict=verdict)
    if not replica.address:
        receive_release(state.registry, state.name, release, now)
        return
    peer = state.peers.get(replica.address)
    if peer is None:
        return
    is_unsent = peer.claims.pop(replica.number, None) is not None
    # Without a reply it was to be sent for the first time.
    is_unknown = is_unsent and replica.state == ReplicaState.PENDING
    is_kept = verdict is not None and len(peer.releases) < MAX_KEPT_RELEASES
    if not is_unknown and (peer.connected or is_kept):
        peer.releases.append(release)


def receive_reply(
    state: EntryState, address: str, reply: ClaimReply, now: float, echo: float = 0.0
) -> None:
    """Processes a reply of the registrar at an address, which is empty for this entry itself.

    `echo` is the boot-clock time in seconds at which the newest frame that it had received by then
    was sent, 0 if unknown.
    """
    claim = state.claims.get(reply.request_id)
    if claim is None:
        return
    for replica in claim.replicas:
        is_meant = replica.address == address and replica.number == reply.number
        if not is_meant or replica.state == ReplicaState.WITHDRAWN:
            continue
        if reply.status == ClaimStatus.AWAITED:
            _record_wait(state, claim, address, reply.seconds, now)
        else:
            if reply.status == ClaimStatus.GRANTED:
                replica.sent_at = max(replica.sent_at, echo)
            _apply_reply(state, claim, replica, reply, now)
            _advance(state, claim, now)
        return


def _record_wait(
    state: EntryState, claim: OwnClaim, address: str, seconds: float, now: float
) -> None:
    """Lets a request go on for the callers of other entries that wait for it."""
    request = claim.request
    claim.awaited_until[address] = now + seconds
    if request.verdict is not None:
        return
    stop_at = now + seconds - MAX_STOP_SECONDS
    if seconds and stop_at > request.stop_at + MIN_EXTENSION_SECONDS:
        extend_request(state, request, stop_at)
        renew_claim(state, request, now)
    elif not seconds and not request.callers and not is_awaited(state, request, now):
        end = RemoteEnd(
            request=request, verdict=Verdict.MAY_HAVE_RUN, detail="the callers of all entries left"
        )
        state.remote_ends.append(end)


def _apply_reply(
    state: EntryState, claim: OwnClaim, replica: Replica, reply: ClaimReply, now: float
) -> None:
    replica.timeout_at = math.inf
    if reply.status == ClaimStatus.GRANTED:
        replica.state = ReplicaState.GRANTED
        return
    replica.state = ReplicaState.HELD
    if reply.status == ClaimStatus.ENDED:
        was_cancelled = reply.verdict == Verdict.CANCELLED
        detail = "it was cancelled" if was_cancelled else "another entry has served it"
        state.remote_ends.append(
            RemoteEnd(request=claim.request, verdict=reply.verdict, detail=detail)
        )
        return
    count(state, "claims_held")
    claim.contested = True
    request_id = claim.request.specification.request_id
    text = "claim lost to another entry" if claim.settled else "request waits: another entry has it"
    note_event(state, text, request=request_id, holder=reply.holder)
    if claim.settled or claim.request.placed:
        _yield_claim(state, claim, replica, now)


def _yield_claim(state: EntryState, claim: OwnClaim, replica: Replica, now: float) -> None:
    """Gives a claim up at a registrar where another entry has it, though this one runs the request.

    The request ends unless another registrar has granted it to this entry, and that hasn't lapsed.
    """
    _send_release(state, claim.request.specification.request_id, replica, None, now)
    replica.state = ReplicaState.LOST
    is_granted = any(other.state == ReplicaState.GRANTED for other in claim.replicas)
    if not claim.settled or not is_granted:
        detail = "another entry has taken it over"
        end = RemoteEnd(request=claim.request, verdict=Verdict.MAY_HAVE_RUN, detail=detail)
        state.remote_ends.append(end)


def _advance(state: EntryState, claim: OwnClaim, now: float) -> None:
    """Makes the claims that are missing, one behind the other, and settles the claim if it can.

    Claims behind one that is held are withdrawn until that one is granted.
    """
    if not claim.begun or claim.request.verdict is not None:
        return
    _replace_lost(state, claim)
    for position, replica in enumerate(claim.replicas):
        if replica.state == ReplicaState.WITHDRAWN:
            _send_claim(state, claim, replica, now)
        if replica.state == ReplicaState.HELD and not claim.settled:
            _withdraw(state, claim, claim.replicas[position + 1 :], now)
            return
        if replica.state not in ANSWERED_STATES:
            return
    _settle(state, claim, now)


def _replace_lost(state: EntryState, claim: OwnClaim) -> None:
    """Adds the next registrars in rank for those that are out of reach."""
    missing = REGISTRARS - sum(replica.state != ReplicaState.LOST for replica in claim.replicas)
    if missing <= 0:
        return
    known = {replica.address for replica in claim.replicas}
    request_id = claim.request.specification.request_id
    others = [item for item in _rank_registrars(state, request_id) if item not in known]
    for address in others[:missing]:
        _insert_replica(state, claim, address)


def _insert_replica(state: EntryState, claim: OwnClaim, address: str) -> Replica:
    """Adds a registrar at its place in rank; it is asked once those before it have granted."""
    replica = Replica(address=address)
    replica.state = ReplicaState.WITHDRAWN
    claim.replicas.append(replica)
    claim.replicas.sort(key=lambda item: _rank_address(state, claim, item.address))
    return replica


def _rank_address(state: EntryState, claim: OwnClaim, address: str) -> int:
    peer = state.peers.get(address)
    instance = peer.name if peer is not None else get_instance(state.name)
    return rank_registrar(instance, claim.request.specification.request_id)


def _withdraw(state: EntryState, claim: OwnClaim, replicas: list[Replica], now: float) -> None:
    for replica in replicas:
        if replica.state not in (ReplicaState.WITHDRAWN, ReplicaState.LOST):
            request_id = claim.request.specification.request_id
            _send_release(state, request_id, replica, None, now)
            replica.state = ReplicaState.WITHDRAWN
            replica.timeout_at = math.inf


def _settle(state: EntryState, claim: OwnClaim, now: float) -> None:
    if claim.settled or not claim.begun:
        return
    if any(replica.state not in ANSWERED_STATES for replica in claim.replicas):
        return
    if now < claim.made_at + RUN_EXPIRY_SECONDS and not is_witnessed(state, claim, now):
        return
    claim.settled = True
    claim.settled_at = now
    if claim.contested:
        request_id = claim.request.specification.request_id
        note_event(state, "request goes on: its claim was released", request=request_id)
    if claim.request.verdict is None:
        push_request(state, claim.request, now)


def confirm_claim(state: EntryState, request: Request, now: float) -> bool:
    """Returns whether the tasks of a request may be placed; precedes each placement of some.

    A claim that has lapsed is made anew at all entries that can be reached, as another one may have
    taken the request over. The request is queued again once these have answered.
    """
    claim = state.claims.get(request.specification.request_id)
    if claim is None or not claim.settled:
        return False
    if now < find_lease_end(state, claim):
        return True
    count(state, "claims_lapsed")
    request_id = request.specification.request_id
    note_event(state, "claim has lapsed; all entries are asked", request=request_id)
    claim.settled = False
    claim.renewed_until = now + MAX_LAPSE_SECONDS
    known = {replica.address for replica in claim.replicas}
    for address in list_lapse_witnesses(state, now):
        if address not in known:
            _insert_replica(state, claim, address)
    for replica in claim.replicas:
        _send_claim(state, claim, replica, now)
    _advance(state, claim, now)
    return claim.settled


def hold_own_claim(state: EntryState, request_id: str, now: float) -> None:
    """Makes a claim of this entry at itself, so that others who claim the request learn of it."""
    claim = state.claims.get(request_id)
    if claim is None or not claim.settled:
        return
    if any(not replica.address for replica in claim.replicas):
        return
    replica = _insert_replica(state, claim, "")
    _send_claim(state, claim, replica, now)


def add_replica(state: EntryState, claim: OwnClaim, peer: Peer, now: float) -> None:
    """Claims a request at a registrar that could not be reached before, if it ranks high enough."""
    known = {replica.address for replica in claim.replicas}
    chosen = _rank_registrars(state, claim.request.specification.request_id)[:REGISTRARS]
    if claim.begun and peer.address in chosen and peer.address not in known:
        _insert_replica(state, claim, peer.address)
        _advance(state, claim, now)


def move_replicas(state: EntryState, before: Peer, after: Peer, now: float) -> None:
    """Repeats the claims at a registrar that is reached at another address from now on."""
    for claim in state.claims.values():
        for replica in claim.replicas:
            if replica.address != before.address:
                continue
            replica.address = after.address
            if replica.state != ReplicaState.WITHDRAWN:
                _send_claim(state, claim, replica, now)


def lose_replicas(state: EntryState, address: str, now: float) -> None:
    """Has other registrars asked in place of one that can't be reached.

    While another entry has a claim there, it is waited for until that one's tasks have ended if its
    process has.
    """
    for claim in state.claims.values():
        for replica in claim.replicas:
            if replica.address != address:
                continue
            if replica.state == ReplicaState.HELD:
                replica.timeout_at = min(replica.timeout_at, now + RUN_EXPIRY_SECONDS)
            elif replica.state == ReplicaState.PENDING and now < claim.renewed_until:
                # It is asked again once it is linked.
                continue
            elif replica.state != ReplicaState.WITHDRAWN:
                replica.state = ReplicaState.LOST
                replica.timeout_at = math.inf
        _advance(state, claim, now)


def expire_replicas(state: EntryState, now: float) -> None:
    """Has other registrars asked in place of those that owe a reply for too long."""
    for claim in state.claims.values():
        for replica in claim.replicas:
            if now >= replica.timeout_at:
                replica.timeout_at = math.inf
                replica.state = ReplicaState.LOST
        _advance(state, claim, now)
