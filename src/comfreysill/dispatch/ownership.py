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
from comfreysill.partition.owned import STALE_ROSTER, OwnedPartition, is_handed_over
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


def find_assigned_entry(dispatcher: Dispatcher, partition: int, now: float) -> str | None:
    """Returns the entry that a partition is assigned to by hash, or None if no entry is live.

    The owner is the entry that has claimed the partition; until a takeover it can be another one.
    """
    return choose_owner(partition, list_live_entries(dispatcher, now))


def assign_partitions(dispatcher: Dispatcher, now: float) -> None:
    """Begins the takeover of each partition that is assigned to this entry and not yet claimed.

    Partitions in fencing back-off are left out. Nothing is claimed before the first read of the
    roster and of the floor document.
    """
    if dispatcher.leaving or not dispatcher.roster_read_at or not dispatcher.floor.version:
        return
    live = list_live_entries(dispatcher, now)
    to_claim = [
        partition
        for partition in range(PARTITION_COUNT)
        if partition not in dispatcher.owned_partitions
        and choose_owner(partition, live) == dispatcher.name
        and not _is_in_fencing_backoff(dispatcher, partition, now)
    ]
    for partition in to_claim:
        owned_partition = OwnedPartition(partition=partition, claimed_at=now)
        dispatcher.owned_partitions[partition] = owned_partition
        begin_takeover(dispatcher, owned_partition, now)
    if to_claim:
        claim_at_all_agents(dispatcher, now)


def _is_in_fencing_backoff(dispatcher: Dispatcher, partition: int, now: float) -> bool:
    """Returns whether this entry must wait before it reclaims a partition lost by fencing.

    Without the back-off, two entries that can't reach each other would fence each other in rapid
    alternation.
    """
    fencing = dispatcher.fenced.get(partition)
    if fencing is None or now - fencing.fenced_at >= FENCED_BACKOFF_SECONDS:
        return False
    owner = dispatcher.peers.get(fencing.owner)
    return owner is not None and not owner.dead and not owner.leaving


def begin_takeover(dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float) -> None:
    """Starts the takeover of a partition by raising its epoch.

    Jobs that this entry already has are kept, but another entry may have owned the partition in
    the meantime: their tasks are blocked until the ledgers show which ones that entry started.
    """
    for job in owned_partition.jobs.values():
        job.may_have_prior_runs = job.blocked_by_prior_runs = job.answer is None
    number = dispatcher.epoch_numbers.get(owned_partition.partition, 0) + 1
    dispatcher.epoch_numbers[owned_partition.partition] = number
    owned_partition.epoch = Epoch(number=number, owner=dispatcher.name)
    owned_partition.claimed_at = owned_partition.roster_needed_since = now
    owned_partition.open = False
    owned_partition.majority_lost_at = 0.0
    owned_partition.granted_in_session.clear()
    owned_partition.read_ledgers.clear()
    owned_partition.unread_ledgers = {STALE_ROSTER, *dispatcher.targets}
    dispatcher.takeovers_pending = True
    dispatcher.effects.append(ReadRoster())
    count(dispatcher, "takeovers")


def renew_takeovers(dispatcher: Dispatcher, now: float) -> bool:
    """Restarts the takeover of open partitions that no majority has granted in open sessions.

    This happens when most agents were replaced, since the fences that protected the epoch are lost,
    and when a partition was opened without agents, since another entry may have used them first.
    An agent that left is among the targets until the next read of the roster, which is done first.

    Returns:
        True if a takeover began.
    """
    majority = len(dispatcher.targets) // 2 + 1
    reachable = {target.name for target in dispatcher.targets.values() if target.handshake_done}
    began = False
    for owned_partition in dispatcher.owned_partitions.values():
        if not owned_partition.open or not _is_majority_lost(dispatcher, owned_partition, now):
            continue
        wait_elapsed = now - owned_partition.claimed_at >= 2 * CLAIM_TIMEOUT_SECONDS
        if (
            (wait_elapsed or not owned_partition.granted_ever)
            and len(reachable) >= majority
            and reachable - owned_partition.granted_in_session
        ):
            begin_takeover(dispatcher, owned_partition, now)
            began = True
    return began


def _is_majority_lost(dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float) -> bool:
    """Returns whether no majority has granted, by a roster read after that was first found."""
    if _is_granted_by_majority(dispatcher, owned_partition):
        owned_partition.majority_lost_at = 0.0
        return False
    if not owned_partition.majority_lost_at:
        owned_partition.majority_lost_at = now
        dispatcher.effects.append(ReadRoster())
        return False
    return _find_roster_tried_at(dispatcher) >= owned_partition.majority_lost_at


def claim_at_all_agents(dispatcher: Dispatcher, now: float) -> None:
    """Claims the partitions at each agent that hasn't granted them."""
    for target in dispatcher.targets.values():
        claim_partitions(dispatcher, target, now)


def claim_partitions(dispatcher: Dispatcher, target: Target, now: float) -> None:
    """Claims at an agent all partitions that it hasn't granted in the open session.

    A new incarnation of an agent has no fences, so it would grant an outdated epoch too. An open
    partition is therefore claimed at a new incarnation only once:

    - The other live entries have the agent in their roster, so that a takeover by one of them
      reads its ledger.
    - A majority of agents, all of which granted the epoch, has acknowledged a frame sent since the
      incarnation was discovered, so that the epoch was not outdated then.

    A partition that was opened without agents is taken over again once there are some.
    """
    if not target.handshake_done:
        return
    claims = []
    for owned_partition in dispatcher.owned_partitions.values():
        if target.name in owned_partition.granted_in_session:
            continue
        if target.requested_claims.get(owned_partition.partition) == owned_partition.epoch:
            continue
        if not _may_claim(dispatcher, owned_partition, target, now):
            dispatcher.required_ack_cycle = max(
                dispatcher.required_ack_cycle, target.discovered_cycle
            )
            continue
        target.requested_claims[owned_partition.partition] = owned_partition.epoch
        claims.append(
            PartitionClaim(partition=owned_partition.partition, epoch=owned_partition.epoch)
        )
    if claims:
        count(dispatcher, "claims_sent")
        target.outbox.append(Claim(claims=tuple(claims)))


def record_grant(
    dispatcher: Dispatcher,
    owned_partition: OwnedPartition,
    target: Target,
    lost_at: float,
    now: float,
) -> None:
    """Records that an agent granted the epoch of a partition and sent its ledger records.

    Args:
        dispatcher: The entry.
        owned_partition: The partition.
        target: The target whose agent granted the epoch.
        lost_at: Unix time in seconds at which the ledger of an earlier incarnation of the agent
            was lost, 0 for never.
        now: Unix time in seconds.
    """
    # Once the partition is open, the loss matters only if that ledger had not been read: the jobs
    # in the others are known.
    if not owned_partition.open or target.name in owned_partition.unread_ledgers:
        owned_partition.lost_at = max(owned_partition.lost_at, lost_at)
    owned_partition.granted_in_session.add(target.name)
    owned_partition.granted_ever.add(_format_incarnation(target))
    owned_partition.read_ledgers.add(_format_incarnation(target))
    owned_partition.unread_ledgers.discard(target.name)
    if not owned_partition.open:
        _require_roster(dispatcher, owned_partition, now)


def _require_roster(dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float) -> None:
    """Requests a read of the roster once a majority of agents has granted the epoch.

    Until then an earlier owner may claim and use agents that registered during the takeover.
    """
    required = owned_partition.roster_needed_since > owned_partition.claimed_at
    if required or not _is_granted_by_majority(dispatcher, owned_partition):
        return
    owned_partition.roster_needed_since = now
    owned_partition.unread_ledgers.add(STALE_ROSTER)
    dispatcher.effects.append(ReadRoster())


def open_partitions(dispatcher: Dispatcher, now: float) -> list[OwnedPartition]:
    """Opens each partition whose ledgers are read and whose expected handover has arrived.

    After `CLAIM_TIMEOUT_SECONDS` it no longer waits for the handover, and the grants of a majority
    of agents are enough.

    Returns:
        Partitions opened by this call, and open ones that have no unread ledgers any more but had
        some at the previous call.
    """
    changed = []
    for owned_partition in dispatcher.owned_partitions.values():
        _replace_roster_marker(dispatcher, owned_partition)
        if owned_partition.open:
            if owned_partition.unread_ledgers and now >= owned_partition.former_jobs_until:
                owned_partition.unread_ledgers.clear()
            if owned_partition.had_unread_ledgers and not owned_partition.unread_ledgers:
                changed.append(owned_partition)
        elif _may_open(dispatcher, owned_partition, now):
            owned_partition.open = True
            owned_partition.lost_at = max(owned_partition.lost_at, dispatcher.ledgers_lost_at)
            owned_partition.former_authority_until = (
                now + AUTHORITY_SECONDS + 2 * CLOCK_SKEW_SECONDS
            )
            owned_partition.former_jobs_until = now + HORIZON_SECONDS + RETENTION_SECONDS
            changed.append(owned_partition)
        owned_partition.had_unread_ledgers = bool(owned_partition.unread_ledgers)
    return changed


def are_takeovers_complete(dispatcher: Dispatcher) -> bool:
    """Returns whether all partitions are open, fully read and granted by all connected agents."""
    connected = {target.name for target in dispatcher.targets.values() if target.handshake_done}
    return all(
        owned_partition.open
        and not owned_partition.unread_ledgers
        and connected <= owned_partition.granted_in_session
        for owned_partition in dispatcher.owned_partitions.values()
    )


def _may_claim(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, target: Target, now: float
) -> bool:
    if not owned_partition.open or _format_incarnation(target) in owned_partition.granted_ever:
        return True
    if not _is_known_to_peers(dispatcher, target, now):
        return False
    return find_validated_cycle(dispatcher, owned_partition) >= target.discovered_cycle


def _is_known_to_peers(dispatcher: Dispatcher, target: Target, now: float) -> bool:
    return all(
        peer.roster_revision >= target.registration.revision
        for peer in dispatcher.peers.values()
        if is_alive(peer, now)
    )


def _may_open(dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float) -> bool:
    wait_elapsed = now >= owned_partition.claimed_at + CLAIM_TIMEOUT_SECONDS
    if not wait_elapsed and _is_awaiting_handover(dispatcher, owned_partition, now):
        return False
    if not owned_partition.unread_ledgers:
        return True
    if not wait_elapsed:
        return False
    return _is_granted_by_majority(dispatcher, owned_partition)


def _find_roster_tried_at(dispatcher: Dispatcher) -> float:
    return max(dispatcher.roster_read_at, dispatcher.roster_failed_at)


def _is_granted_by_majority(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> bool:
    return len(owned_partition.granted_in_session) >= len(dispatcher.targets) // 2 + 1


def _is_awaiting_handover(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, now: float
) -> bool:
    former_owner = dispatcher.peers.get(owned_partition.former_epoch.owner)
    if former_owner is None or not is_alive(former_owner, now):
        return False
    return not is_handed_over(owned_partition)


def _replace_roster_marker(dispatcher: Dispatcher, owned_partition: OwnedPartition) -> None:
    """Replaces `STALE_ROSTER` by the agents that haven't granted the epoch.

    This needs a read of the roster that began at `roster_needed_since` or later. If it fails, the
    takeover goes on with the agents that are known.
    """
    if STALE_ROSTER not in owned_partition.unread_ledgers:
        return
    if _find_roster_tried_at(dispatcher) < owned_partition.roster_needed_since:
        return
    owned_partition.unread_ledgers.discard(STALE_ROSTER)
    owned_partition.unread_ledgers.update(
        set(dispatcher.targets) - owned_partition.granted_in_session
    )
    if not _is_granted_by_majority(dispatcher, owned_partition):
        # No majority yet, or none any more as the roster has grown.
        owned_partition.roster_needed_since = owned_partition.claimed_at


def _format_incarnation(target: Target) -> str:
    return f"{target.name}|{target.incarnation}"
