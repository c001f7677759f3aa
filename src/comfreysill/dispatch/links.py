"""Links to agents: the roster of targets, sessions, frames and granted claims."""

from collections.abc import Iterable

from comfreysill.dispatch.admission import admit_deferred_submissions, recheck_prior_runs
from comfreysill.dispatch.backlog import track_pending
from comfreysill.dispatch.handovers import hand_over
from comfreysill.dispatch.jobs import (
    abandon_attempt,
    apply_ledger_record,
    receive_done,
    receive_refused,
    requeue_task,
)
from comfreysill.dispatch.messages import NotOwner
from comfreysill.dispatch.ownership import (
    are_takeovers_complete,
    claim_at_all_agents,
    claim_partitions,
    open_partitions,
    record_grant,
)
from comfreysill.dispatch.routing import unassign_in_partition
from comfreysill.dispatch.state import Dispatcher, Fencing, count
from comfreysill.job.job import TaskState
from comfreysill.job.types import JobKey
from comfreysill.partition.owned import OwnedPartition, drop_undelivered
from comfreysill.target.frames import AgentFrame
from comfreysill.target.messages import (
    AgentMessage,
    Claimed,
    Fenced,
    PartitionClaim,
    Refused,
    SetDraining,
    TaskDone,
)
from comfreysill.target.view import (
    Registration,
    Target,
    acknowledge_frames,
    close_session,
    open_session,
)


def update_roster(
    dispatcher: Dispatcher,
    registrations: Iterable[Registration],
    revision: int,
    lost_at: float,
    read_at: float,
    now: float,
) -> None:
    """Updates the targets from a newly read roster.

    Args:
        dispatcher: The entry.
        registrations: All registered targets.
        revision: Revision of the registration table at which the roster was read.
        lost_at: Newest Unix time in seconds at which an agent's ledger was lost, 0 for never.
        read_at: Unix time in seconds at which the read began.
        now: Unix time in seconds.
    """
    if revision < dispatcher.roster_revision:
        count(dispatcher, "rosters_stale")
        return
    registered = {registration.agent: registration for registration in registrations}
    for name in list(dispatcher.targets):
        if name not in registered:
            _remove_target(dispatcher, name, now)
    for name, registration in registered.items():
        target = dispatcher.targets.get(name)
        if target is None:
            target = Target(registration=registration, now=now, cycle=dispatcher.cycle)
            dispatcher.targets[name] = target
            count(dispatcher, "targets_added")
        if target.registration.incarnation != registration.incarnation:
            target.registration_known_at = now
        target.registration = registration
    if revision > dispatcher.roster_revision:
        dispatcher.takeovers_pending = True
    dispatcher.roster_revision = revision
    dispatcher.ledgers_lost_at = max(dispatcher.ledgers_lost_at, lost_at)
    dispatcher.roster_read_at = max(dispatcher.roster_read_at, read_at)


def connect_agent(dispatcher: Dispatcher, agent: str, session: int) -> None:
    """Records a new session to an agent, whose first frame will name its incarnation."""
    target = dispatcher.targets.get(agent)
    if target is None or session <= target.session:
        return
    _clear_session_grants(dispatcher, agent)
    dispatcher.takeovers_pending = True
    open_session(target, session)


def disconnect_agent(dispatcher: Dispatcher, agent: str, session: int, now: float) -> None:
    """Records the end of a session; tasks placed at the agent stay placed."""
    target = dispatcher.targets.get(agent)
    if target is None or session != target.session or not target.connected:
        return
    count(dispatcher, "links_lost")
    _clear_session_grants(dispatcher, agent)
    close_session(target, now)


def set_target_draining(dispatcher: Dispatcher, agent: str, draining: bool) -> bool:
    """Queues an operator's order to drain or resume a target for the agent.

    Returns:
        False when no session with the agent is open or its first frame has not arrived.
    """
    target = dispatcher.targets.get(agent)
    if target is None or not target.handshake_done:
        return False
    target.outbox.append(SetDraining(draining=draining))
    return True


def receive_agent_frame(dispatcher: Dispatcher, frame: AgentFrame, now: float) -> bool:
    """Handles an agent's frame; drops frames of older sessions, duplicates and out-of-order ones.

    Returns:
        False when the frame was dropped; the session must then be closed.
    """
    target = dispatcher.targets.get(frame.agent)
    if target is None or not target.connected or target.session != frame.session:
        count(dispatcher, "frames_stale")
        return False
    if frame.sequence != target.received_sequence + 1:
        count(dispatcher, "frames_out_of_order")
        return False
    target.received_sequence = frame.sequence
    if frame.incarnation != target.incarnation:
        _replace_incarnation(dispatcher, target, frame.incarnation, now)
    for message in frame.messages:
        _receive_message(dispatcher, target, message, now)
    acknowledge_frames(target, frame.acknowledged, frame.load)
    if not target.handshake_done:
        target.handshake_done = True
        dispatcher.takeovers_pending = True
        claim_partitions(dispatcher, target, now)
    return True


def advance_takeovers(dispatcher: Dispatcher, now: float) -> None:
    """Claims partitions at agents and opens those that may be opened.

    Submissions and jobs that waited for the ledgers of a partition are then checked again.
    """
    if not dispatcher.takeovers_pending:
        return
    claim_at_all_agents(dispatcher, now)
    for owned_partition in open_partitions(dispatcher, now):
        admit_deferred_submissions(dispatcher, owned_partition, now)
        recheck_prior_runs(dispatcher, owned_partition, now)
    dispatcher.takeovers_pending = not are_takeovers_complete(dispatcher)


def release_owned_partition(
    dispatcher: Dispatcher, partition: int, next_owner: str, now: float
) -> None:
    """Releases a partition and notifies the listeners of its jobs.

    The jobs are handed over to the next owner if the partition is open and that owner connected.
    """
    owned_partition = dispatcher.owned_partitions.pop(partition, None)
    if owned_partition is None:
        return
    hand_over(dispatcher, owned_partition, next_owner)
    for deferred in owned_partition.deferred.values():
        _notify_listeners(dispatcher, deferred.submission.key, deferred.listeners)
    for job in owned_partition.jobs.values():
        _notify_listeners(dispatcher, job.key, job.listeners)
        job.pending.clear()
        track_pending(dispatcher, job)
    dispatcher.job_count -= len(owned_partition.jobs)
    count(dispatcher, "partitions_released")
    unassign_in_partition(dispatcher, partition, now)


def _notify_listeners(dispatcher: Dispatcher, key: JobKey, listeners: set[str]) -> None:
    for name in listeners:
        if name in dispatcher.peers:
            dispatcher.peers[name].outbox.append(NotOwner(key=key))


def _receive_message(
    dispatcher: Dispatcher, target: Target, message: AgentMessage, now: float
) -> None:
    if isinstance(message, TaskDone):
        receive_done(dispatcher, target, message, now)
    elif isinstance(message, Refused):
        receive_refused(dispatcher, target, message, now)
    elif isinstance(message, Claimed):
        _receive_claimed(dispatcher, target, message, now)
    elif isinstance(message, Fenced):
        _receive_fenced(dispatcher, message.claim, now)


def _receive_fenced(dispatcher: Dispatcher, claim: PartitionClaim, now: float) -> None:
    highest = dispatcher.epoch_numbers.get(claim.partition, 0)
    dispatcher.epoch_numbers[claim.partition] = max(highest, claim.epoch.number)
    owned_partition = dispatcher.owned_partitions.get(claim.partition)
    if owned_partition is not None and owned_partition.epoch < claim.epoch:
        count(dispatcher, "fenced")
        dispatcher.fenced[claim.partition] = Fencing(owner=claim.epoch.owner, fenced_at=now)
        release_owned_partition(dispatcher, claim.partition, claim.epoch.owner, now)


def _receive_claimed(dispatcher: Dispatcher, target: Target, message: Claimed, now: float) -> None:
    target.claimed_records.extend(message.records)
    if not message.last:
        return
    records, target.claimed_records = target.claimed_records, []
    granted: dict[int, OwnedPartition] = {}
    for claim in message.claims:
        owned_partition = dispatcher.owned_partitions.get(claim.partition)
        if owned_partition is not None and owned_partition.epoch == claim.epoch:
            granted[claim.partition] = owned_partition
    recorded = {(record.key, record.index) for record in records}
    for owned_partition in granted.values():
        _requeue_undelivered(dispatcher, owned_partition, target, recorded)
    for record in records:
        if record.partition in granted:
            apply_ledger_record(dispatcher, granted[record.partition], target, record, now)
    for claim in message.previous:
        owned_partition = granted.get(claim.partition)
        if owned_partition is not None and claim.epoch != owned_partition.epoch:
            owned_partition.former_epoch = max(owned_partition.former_epoch, claim.epoch)
    for owned_partition in granted.values():
        record_grant(dispatcher, owned_partition, target, message.lost_at, now)


def _requeue_undelivered(
    dispatcher: Dispatcher, owned_partition: OwnedPartition, target: Target, recorded: set
) -> None:
    """Requeues tasks sent to the agent's current incarnation that aren't in its ledger.

    Their start was lost with an earlier session, or is refused as one of an earlier owner.
    """
    drop_undelivered(owned_partition, target.name, target.incarnation, recorded)
    for job in owned_partition.jobs.values():
        if job.answer is not None:
            continue
        for index, placement in enumerate(job.placements):
            if placement is None or placement.agent != target.name:
                continue
            if placement.incarnation == target.incarnation and (job.key, index) not in recorded:
                count(dispatcher, "starts_taken_back")
                requeue_task(dispatcher, job, index)


def handle_refused_connection(
    dispatcher: Dispatcher, agent: str, tried_at: float, now: float
) -> None:
    """Treats a refused connection as proof that an agent's process has ended.

    The ledger is lost with the process: attempts at the agent are abandoned, and takeovers don't
    wait for the ledger. A connection tried before this entry learned of the registered incarnation
    proves nothing, as it may have been refused by the address of an earlier one.

    Args:
        dispatcher: The entry.
        agent: Name of the agent.
        tried_at: Unix time in seconds at which the refused connection was tried.
        now: Unix time in seconds.
    """
    target = dispatcher.targets.get(agent)
    if target is None or target.connected:
        return
    if tried_at < target.registration_known_at:
        count(dispatcher, "refusals_stale")
        return
    if target.incarnation:
        count(dispatcher, "agents_refused")
        target.incarnation = ""
        _abandon_attempts(dispatcher, agent, now)
    for owned_partition in dispatcher.owned_partitions.values():
        if agent in owned_partition.unread_ledgers:
            owned_partition.unread_ledgers.discard(agent)
            owned_partition.lost_at = max(owned_partition.lost_at, tried_at)


def _replace_incarnation(
    dispatcher: Dispatcher, target: Target, incarnation: str, now: float
) -> None:
    previous, target.incarnation = target.incarnation, incarnation
    target.discovered_cycle = dispatcher.cycle
    target.failures = 0
    target.probe_at = 0.0
    if previous:
        count(dispatcher, "incarnations_replaced")
        _abandon_attempts(dispatcher, target.name, now)


def _remove_target(dispatcher: Dispatcher, name: str, now: float) -> None:
    del dispatcher.targets[name]
    count(dispatcher, "targets_removed")
    for owned_partition in dispatcher.owned_partitions.values():
        owned_partition.granted_in_session.discard(name)
    _abandon_attempts(dispatcher, name, now)


def _abandon_attempts(dispatcher: Dispatcher, agent: str, now: float) -> None:
    for owned_partition in dispatcher.owned_partitions.values():
        for job in list(owned_partition.jobs.values()):
            if job.answer is not None:
                continue
            for index in range(len(job.states)):
                if job.answer is not None or job.states[index] != TaskState.PLACED:
                    continue
                if job.placements[index].agent == agent:
                    abandon_attempt(dispatcher, job, index, job.attempts[index], now)


def _clear_session_grants(dispatcher: Dispatcher, agent: str) -> None:
    for owned_partition in dispatcher.owned_partitions.values():
        owned_partition.granted_in_session.discard(agent)
