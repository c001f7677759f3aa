"""Takeover of partitions: the owner claims a higher epoch at the agents and reads their ledgers."""

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
    """Returns the names of live entries that may own partitions, including this one."""
    live = [
        peer.name for peer in dispatcher.peers.values() if not peer.leaving and is_alive(peer, now)
    ]
    if not dispatcher.leaving:
        live.append(dispatcher.name)
    return live


def is_alive(peer: Peer, now: float) -> bool:
    """Returns whether another entry is presumed to be running."""
    return not peer.dead and now - peer.last_received_at < PEER_TIMEOUT_SECONDS


def find_owner(dispatcher: Dispatcher, partition: int, now: float) -> str | None:
    """Returns the entry that should own a partition, or None if no entry is available."""
    return choose_owner(partition, list_live_entries(dispatcher, now))


def assign_partitions(dispatcher: Dispatcher, now: float) -> None:
    """Begins the takeover of each partition that is assigned to this entry but not held by it."""
    if dispatcher.leaving or not dispatcher.roster_read_at or not dispatcher.floor.version:
        return
    live = list_live_entries(dispatcher, now)
    to_claim = [
        partition
        for partition in range(PARTITION_COUNT)
        if partition not in dispatcher.holdings
        and choose_owner(partition, live) == dispatcher.name
        and not _is_in_fencing_backoff(dispatcher, partition, now)
    ]
    for partition in to_claim:
        holding = Holding(partition=partition, claimed_at=now)
        dispatcher.holdings[partition] = holding
        begin_takeover(dispatcher, holding, now)
    if to_claim:
        claim_at_all_agents(dispatcher, now)


def _is_in_fencing_backoff(dispatcher: Dispatcher, partition: int, now: float) -> bool:
    """Returns whether to wait before reclaiming a partition from which this entry was fenced.

    Without the wait, two entries that can't reach each other would fence each other in rapid
    alternation.
    """
    fencing = dispatcher.fenced.get(partition)
    if fencing is None or now - fencing.fenced_at >= FENCED_BACKOFF_SECONDS:
        return False
    owner = dispatcher.peers.get(fencing.owner)
    return owner is not None and not owner.dead and not owner.leaving


def begin_takeover(dispatcher: Dispatcher, holding: Holding, now: float) -> None:
    """Starts the takeover of a partition by raising its epoch.

    Jobs that this entry already has are kept, but another entry may have owned the partition in
    the meantime: none of their tasks starts until the ledgers show which ones it started.
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
    """Restarts the takeover of open partitions whose epoch no majority of agents confirms.

    This happens when most agents were replaced: the fences that protected this epoch are gone.

    Returns:
        True if a takeover began.
    """
    majority = len(dispatcher.targets) // 2 + 1
    reachable = {target.name for target in dispatcher.targets.values() if target.greeted}
    began = False
    for holding in dispatcher.holdings.values():
        if not holding.open or len(holding.confirmed) >= majority:
            continue
        wait_elapsed = now - holding.claimed_at >= 2 * CLAIM_TIMEOUT_SECONDS
        if wait_elapsed and len(reachable) >= majority and reachable - holding.confirmed:
            begin_takeover(dispatcher, holding, now)
            began = True
    return began


def claim_at_all_agents(dispatcher: Dispatcher, now: float) -> None:
    """Claims the partitions at each agent that hasn't granted them."""
    for target in dispatcher.targets.values():
        claim_partitions(dispatcher, target, now)


def claim_partitions(dispatcher: Dispatcher, target: Target, now: float) -> None:
    """Claims at an agent all partitions that it hasn't granted on its open link.

    A new incarnation of an agent has lost its fences. A partition that is already open is not
    claimed there until a majority of agents has confirmed this entry's epoch since then, and the
    other entries have the agent in their roster, so that each reads its ledger at a takeover.
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
    holding.granted.add(_format_incarnation(target))
    holding.unknown.discard(target.name)


def open_holdings(dispatcher: Dispatcher, now: float) -> list[Holding]:
    """Opens each partition whose takeover is complete.

    Returns:
        Partitions opened by this call, and open ones that have no unread ledgers any more.
    """
    changed = []
    for holding in dispatcher.holdings.values():
        _replace_roster_marker(dispatcher, holding)
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


def are_takeovers_complete(dispatcher: Dispatcher) -> bool:
    """Returns whether all partitions are open, fully read and granted by all linked agents."""
    linked = {target.name for target in dispatcher.targets.values() if target.greeted}
    return all(
        holding.open and not holding.unknown and linked <= holding.confirmed
        for holding in dispatcher.holdings.values()
    )


def _may_claim(dispatcher: Dispatcher, holding: Holding, target: Target, now: float) -> bool:
    if not holding.open or _format_incarnation(target) in holding.granted:
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
    wait_elapsed = now >= holding.claimed_at + CLAIM_TIMEOUT_SECONDS
    if not wait_elapsed and _is_awaiting_handover(dispatcher, holding, now):
        return False
    if not holding.unknown:
        return True
    if not wait_elapsed:
        return False
    if not dispatcher.targets:
        return False
    return len(holding.confirmed) >= len(dispatcher.targets) // 2 + 1


def _is_awaiting_handover(dispatcher: Dispatcher, holding: Holding, now: float) -> bool:
    former = dispatcher.peers.get(holding.former.owner)
    if former is None or not is_alive(former, now):
        return False
    return not is_handed_over(holding)


def _replace_roster_marker(dispatcher: Dispatcher, holding: Holding) -> None:
    tried_at = max(dispatcher.roster_read_at, dispatcher.roster_failed_at)
    if ROSTER not in holding.unknown or tried_at < holding.claimed_at:
        return
    holding.unknown.discard(ROSTER)
    holding.unknown.update(set(dispatcher.targets) - holding.confirmed)


def _format_incarnation(target: Target) -> str:
    return f"{target.name}|{target.incarnation}"
