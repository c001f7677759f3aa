"""Takeover of partitions: epochs are raised at the agents, whose ledgers are read with it."""

from comfreysill.dispatch.authority import find_validated_cycle
from comfreysill.dispatch.messages import ReadRoster
from comfreysill.dispatch.state import (
    AUTHORITY_SECONDS,
    CLAIM_TIMEOUT_SECONDS,
    CLOCK_SKEW_SECONDS,
    FENCED_BACKOFF_SECONDS,
    HORIZON_SECONDS,
    PEER_TIMEOUT_SECONDS,
    RETENTION_SECONDS,
    Dispatcher,
    Peer,
    count,
)
from comfreysill.partition.epoch import Epoch
from comfreysill.partition.hashing import PARTITION_COUNT, choose_owner
from comfreysill.partition.holding import ROSTER, Holding, is_handed_over
from comfreysill.target.messages import Claim, PartitionClaim
from comfreysill.target.view import Target


def list_live_entries(dispatcher: Dispatcher, now: float) -> list[str]:
    """Returns the names of entries that may own partitions, this one included."""
    live = [
        peer.name for peer in dispatcher.peers.values() if not peer.leaving and is_alive(peer, now)
    ]
    if not dispatcher.leaving:
        live.append(dispatcher.name)
    return live


def is_alive(peer: Peer, now: float) -> bool:
    """Tells whether another entry is believed to run."""
    return not peer.dead and now - peer.last_received_at < PEER_TIMEOUT_SECONDS


def find_owner(dispatcher: Dispatcher, partition: int, now: float) -> str | None:
    """Returns the entry that should own a partition, None when no entry is left."""
    return choose_owner(partition, list_live_entries(dispatcher, now))


def assign_partitions(dispatcher: Dispatcher, now: float) -> None:
    """Begins the takeover of each partition that falls to this entry and isn't held."""
    if dispatcher.leaving or not dispatcher.roster_read_at or not dispatcher.floor.version:
        return
    live = list_live_entries(dispatcher, now)
    claimed = [
        partition
        for partition in range(PARTITION_COUNT)
        if partition not in dispatcher.holdings
        and choose_owner(partition, live) == dispatcher.name
        and not _waits_after_fencing(dispatcher, partition, now)
    ]
    for partition in claimed:
        holding = Holding(partition=partition, claimed_at=now)
        dispatcher.holdings[partition] = holding
        begin_takeover(dispatcher, holding, now)
    if claimed:
        claim_everywhere(dispatcher, now)


def _waits_after_fencing(dispatcher: Dispatcher, partition: int, now: float) -> bool:
    """Keeps two entries that can't hear each other from taking a partition in quick turns."""
    fencing = dispatcher.fenced.get(partition)
    if fencing is None or now - fencing.fenced_at >= FENCED_BACKOFF_SECONDS:
        return False
    owner = dispatcher.peers.get(fencing.owner)
    return owner is not None and not owner.dead and not owner.leaving


def begin_takeover(dispatcher: Dispatcher, holding: Holding, now: float) -> None:
    """Raises the epoch of a partition.

    Jobs that this entry knows already are kept, but another entry may have owned the partition
    in the meantime: none of their tasks starts until the takeover has shown what it started.
    """
    for job in holding.jobs.values():
        job.doubtful = job.uncertain = job.answer is None
    number = dispatcher.epoch_numbers.get(holding.partition, 0) + 1
    dispatcher.epoch_numbers[holding.partition] = number
    holding.epoch = Epoch(number=number, owner=dispatcher.name)
    holding.claimed_at = now
    holding.open = False
    holding.confirmed.clear()
    holding.unknown = {ROSTER, *dispatcher.targets}
    dispatcher.takeovers_pending = True
    dispatcher.effects.append(ReadRoster())
    count(dispatcher, "takeovers")


def renew_takeovers(dispatcher: Dispatcher, now: float) -> bool:
    """Takes partitions over again for which no majority of agents confirms the epoch.

    This happens when most agents were replaced: the fences that spoke for this entry are gone.

    Returns:
        True when a takeover began.
    """
    majority = len(dispatcher.targets) // 2 + 1
    reachable = {target.name for target in dispatcher.targets.values() if target.greeted}
    began = False
    for holding in dispatcher.holdings.values():
        if not holding.open or len(holding.confirmed) >= majority:
            continue
        waited = now - holding.claimed_at >= 2 * CLAIM_TIMEOUT_SECONDS
        if waited and len(reachable) >= majority and reachable - holding.confirmed:
            begin_takeover(dispatcher, holding, now)
            began = True
    return began


def claim_everywhere(dispatcher: Dispatcher, now: float) -> None:
    """Claims the partitions at each agent that hasn't granted them."""
    for target in dispatcher.targets.values():
        claim_partitions(dispatcher, target, now)


def claim_partitions(dispatcher: Dispatcher, target: Target, now: float) -> None:
    """Claims at an agent all partitions that it hasn't granted on its open link.

    An agent's new incarnation has lost its fences. It isn't given claims of a partition that
    is open already until a majority of agents has confirmed this entry's epoch since, and
    until the other entries know the agent, so that each of them reads its ledger at a takeover.
    """
    if not target.greeted:
        return
    claims = []
    for holding in dispatcher.holdings.values():
        if target.name in holding.confirmed:
            continue
        if target.claiming.get(holding.partition) == holding.epoch:
            continue
        if not _may_claim(dispatcher, holding, target, now):
            dispatcher.required_ack_cycle = max(
                dispatcher.required_ack_cycle, target.discovered_cycle
            )
            continue
        target.claiming[holding.partition] = holding.epoch
        claims.append(PartitionClaim(partition=holding.partition, epoch=holding.epoch))
    if claims:
        count(dispatcher, "claims_sent")
        target.outbox.append(Claim(claims=tuple(claims)))


def confirm_claim(holding: Holding, target: Target, lost_at: float) -> None:
    """Records that an agent granted the epoch and that its ledger was read.

    Args:
        holding: The partition.
        target: The target whose agent granted it.
        lost_at: Unix time in seconds at which the ledger of an earlier incarnation was lost.
    """
    if not holding.open or target.name in holding.unknown:
        holding.lost_at = max(holding.lost_at, lost_at)
    holding.confirmed.add(target.name)
    holding.granted.add(_name_incarnation(target))
    holding.unknown.discard(target.name)


def open_holdings(dispatcher: Dispatcher, now: float) -> list[Holding]:
    """Opens each partition whose takeover is over.

    Returns:
        The partitions opened now, and open ones about which nothing is unknown any more.
    """
    changed = []
    for holding in dispatcher.holdings.values():
        _clear_roster_mark(dispatcher, holding)
        if holding.open:
            if holding.unknown and now >= holding.forget_at:
                holding.unknown.clear()
            if holding.doubted and not holding.unknown:
                changed.append(holding)
        elif _may_open(dispatcher, holding, now):
            holding.open = True
            holding.lost_at = max(holding.lost_at, dispatcher.ledgers_lost_at)
            holding.lapse_at = now + AUTHORITY_SECONDS + 2 * CLOCK_SKEW_SECONDS
            holding.forget_at = now + HORIZON_SECONDS + RETENTION_SECONDS
            changed.append(holding)
        holding.doubted = bool(holding.unknown)
    return changed


def is_settled(dispatcher: Dispatcher) -> bool:
    """Tells whether all partitions are open, without doubts, and granted by all linked agents."""
    linked = {target.name for target in dispatcher.targets.values() if target.greeted}
    return all(
        holding.open and not holding.unknown and linked <= holding.confirmed
        for holding in dispatcher.holdings.values()
    )


def _may_claim(dispatcher: Dispatcher, holding: Holding, target: Target, now: float) -> bool:
    if not holding.open or _name_incarnation(target) in holding.granted:
        return True
    if not _is_known_to_peers(dispatcher, target, now):
        return False
    if not holding.granted:
        return True
    return find_validated_cycle(dispatcher, holding) >= target.discovered_cycle


def _is_known_to_peers(dispatcher: Dispatcher, target: Target, now: float) -> bool:
    return all(
        peer.roster_revision >= target.registration.revision
        for peer in dispatcher.peers.values()
        if is_alive(peer, now)
    )


def _may_open(dispatcher: Dispatcher, holding: Holding, now: float) -> bool:
    waited = now >= holding.claimed_at + CLAIM_TIMEOUT_SECONDS
    if not waited and _expects_handover(dispatcher, holding, now):
        return False
    if not holding.unknown:
        return True
    if not waited:
        return False
    if not dispatcher.targets:
        return False
    return len(holding.confirmed) >= len(dispatcher.targets) // 2 + 1


def _expects_handover(dispatcher: Dispatcher, holding: Holding, now: float) -> bool:
    former = dispatcher.peers.get(holding.former.owner)
    if former is None or not is_alive(former, now):
        return False
    return not is_handed_over(holding)


def _clear_roster_mark(dispatcher: Dispatcher, holding: Holding) -> None:
    tried_at = max(dispatcher.roster_read_at, dispatcher.roster_failed_at)
    if ROSTER not in holding.unknown or tried_at < holding.claimed_at:
        return
    holding.unknown.discard(ROSTER)
    holding.unknown.update(set(dispatcher.targets) - holding.confirmed)


def _name_incarnation(target: Target) -> str:
    return f"{target.name}|{target.incarnation}"
