"""The owned-partition aggregate: one partition at its owner, or at the entry that takes it over."""

from comfreysill.job.job import Job
from comfreysill.job.types import JobKey, Submission
from comfreysill.partition.epoch import NO_EPOCH, Epoch
from comfreysill.target.messages import LedgerRecord, Outcome

# Marker in `unread_ledgers`; not the name of an agent.
STALE_ROSTER = "(roster)"


class RecoveredAttempt:
    """Record of an attempt that an earlier owner sent to an agent, from a ledger or a handover."""

    __slots__ = ("agent", "incarnation", "attempt", "outcome", "payload")

    def __init__(
        self, *, agent: str, incarnation: str, attempt: int, outcome: Outcome, payload: bytes
    ) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.attempt = attempt
        self.outcome = outcome
        self.payload = payload


class RecoveredJob:
    """A job of an earlier owner that this entry hasn't admitted.

    `tasks` has the known attempts of each task, by task index.
    """

    __slots__ = ("digest", "tasks")

    def __init__(self, *, digest: bytes) -> None:
        self.digest = digest
        self.tasks: dict[int, list[RecoveredAttempt]] = {}


class DeferredSubmission:
    """A submission deferred until a takeover is complete; `listeners` are the names of entries."""

    __slots__ = ("submission", "listeners")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.listeners: set[str] = set()


class OwnedPartition:
    """A partition that this entry claims or owns.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch under which this entry claims it.
        claimed_at: Unix time in seconds at which the takeover began.
        roster_needed_since: Unix time in seconds from which a read of the roster shows all agents
            that earlier owners can have used: when a majority of agents had granted the epoch;
            until then `claimed_at`.
        majority_lost_at: Unix time in seconds at which no majority of agents was found to have
            granted the open partition in their open sessions; 0 while one has, and before a check.
        open: True while tasks may be started, False during a takeover.
        former_epoch: Highest epoch that agents had in force before the takeover, `NO_EPOCH` for
            none.
        handover_epoch: Epoch of the owner whose handover was received completely, `NO_EPOCH`
            until then.
        handover_covers_from: The handover of `handover_epoch` covers every job issued after this
            Unix time in seconds; 0 before the handover.
        granted_in_session: Agents that granted the epoch in their open session.
        granted_ever: Agents that granted this or an earlier epoch of this entry in any session, as
            `<agent>|<incarnation>`.
        read_ledgers: Agents that granted the present epoch and so sent their records, as
            `<agent>|<incarnation>`.
        unread_ledgers: Agents whose ledgers may hold unread records of earlier owners; includes
            `STALE_ROSTER` while the roster of agents may be out of date.
        had_unread_ledgers: Whether `unread_ledgers` was non-empty at the last check.
        lost_at: Latest Unix time in seconds at which a ledger was lost that may have held jobs of
            earlier owners, 0 for never.
        former_authority_until: Unix time in seconds after which no earlier owner can start tasks;
            set at each opening, 0 before the first.
        former_jobs_until: Unix time in seconds by which all jobs of earlier owners have expired;
            set at each opening, 0 before the first.
        recovered: Jobs of earlier owners that this entry hasn't admitted, by key.
        deferred: Submissions deferred until the takeover is complete, by key.
        jobs: Jobs by key.
    """

    __slots__ = (
        "partition",
        "epoch",
        "claimed_at",
        "roster_needed_since",
        "majority_lost_at",
        "open",
        "former_epoch",
        "handover_epoch",
        "handover_covers_from",
        "granted_in_session",
        "granted_ever",
        "read_ledgers",
        "unread_ledgers",
        "had_unread_ledgers",
        "lost_at",
        "former_authority_until",
        "former_jobs_until",
        "recovered",
        "deferred",
        "jobs",
    )

    def __init__(self, *, partition: int, claimed_at: float) -> None:
        self.partition = partition
        self.epoch: Epoch = NO_EPOCH
        self.claimed_at = claimed_at
        self.roster_needed_since = claimed_at
        self.majority_lost_at = 0.0
        self.open = False
        self.former_epoch: Epoch = NO_EPOCH
        self.handover_epoch: Epoch = NO_EPOCH
        self.handover_covers_from = 0.0
        self.granted_in_session: set[str] = set()
        self.granted_ever: set[str] = set()
        self.read_ledgers: set[str] = set()
        self.unread_ledgers: set[str] = {STALE_ROSTER}
        self.had_unread_ledgers = False
        self.lost_at = 0.0
        self.former_authority_until = 0.0
        self.former_jobs_until = 0.0
        self.recovered: dict[JobKey, RecoveredJob] = {}
        self.deferred: dict[JobKey, DeferredSubmission] = {}
        self.jobs: dict[JobKey, Job] = {}


def store_recovered_attempt(
    owned_partition: OwnedPartition, record: LedgerRecord, agent: str, incarnation: str
) -> None:
    """Stores an agent's ledger record of a job that this entry hasn't admitted."""
    recovered = owned_partition.recovered.get(record.key)
    if recovered is None:
        recovered = owned_partition.recovered[record.key] = RecoveredJob(digest=record.digest)
    attempt = RecoveredAttempt(
        agent=agent,
        incarnation=incarnation,
        attempt=record.attempt,
        outcome=record.outcome,
        payload=record.payload,
    )
    merge_recovered_attempt(recovered, record.index, attempt)


def merge_recovered_attempt(recovered: RecoveredJob, index: int, attempt: RecoveredAttempt) -> None:
    """Merges a record of an attempt.

    For each task one record per agent is kept, whatever its attempt: the one with the higher
    `Outcome`, of equal ones the new one.
    """
    known_attempts = recovered.tasks.setdefault(index, [])
    from_same_agent = [other for other in known_attempts if other.agent == attempt.agent]
    if any(other.outcome > attempt.outcome for other in from_same_agent):
        return
    known_attempts[:] = [other for other in known_attempts if other.agent != attempt.agent]
    known_attempts.append(attempt)


def drop_undelivered(
    owned_partition: OwnedPartition, agent: str, incarnation: str, recorded: set[tuple[JobKey, int]]
) -> None:
    """Drops handed-over attempts that were sent to an agent and aren't in its ledger.

    Args:
        owned_partition: A partition whose epoch the agent has granted: it refuses their starts.
        agent: Name of the agent.
        incarnation: Incarnation of its process.
        recorded: Key and task index of each record in its ledger.
    """
    for key, recovered in owned_partition.recovered.items():
        for index, attempts in recovered.tasks.items():
            attempts[:] = [
                attempt
                for attempt in attempts
                if attempt.outcome != Outcome.QUEUED
                or (attempt.agent, attempt.incarnation) != (agent, incarnation)
                or (key, index) in recorded
            ]


def is_handed_over(owned_partition: OwnedPartition) -> bool:
    """Returns whether the handover of the immediately preceding owner was received completely."""
    return (
        bool(owned_partition.handover_epoch.number)
        and owned_partition.handover_epoch == owned_partition.former_epoch
    )


def may_be_unrecovered(owned_partition: OwnedPartition, issued_at: float, margin: float) -> bool:
    """Returns whether earlier owners may have started tasks of a job without this entry knowing.

    The cause is a lost ledger or, after a handover, that the handover doesn't cover the job.

    Args:
        owned_partition: The partition.
        issued_at: Earliest Unix time in seconds at which the job can have been submitted.
        margin: Maximum number of seconds by which the clock that set `issued_at` may be ahead.
    """
    known_since = (
        owned_partition.handover_covers_from
        if is_handed_over(owned_partition)
        else owned_partition.lost_at
    )
    return issued_at <= known_since + margin


def may_be_in_unread_ledger(
    owned_partition: OwnedPartition, issued_at: float, margin: float
) -> bool:
    """Returns whether an agent whose ledger is unread may have started tasks of a job.

    The result is valid only while the partition is open: `former_authority_until` is set at each
    opening, and jobs are checked again then. The arguments are those of `may_be_unrecovered`.
    """
    if is_handed_over(owned_partition):
        return False
    return (
        bool(owned_partition.unread_ledgers)
        and issued_at <= owned_partition.former_authority_until + margin
    )
