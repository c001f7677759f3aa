"""The holding aggregate: one partition at the entry that owns it or takes it over."""

from comfreysill.job.job import Job
from comfreysill.job.types import JobKey, Submission
from comfreysill.partition.epoch import NO_EPOCH, Epoch
from comfreysill.target.messages import LedgerRecord, Outcome

ROSTER = "(roster)"


class FoundTask:
    """A task that an agent's ledger knows from an earlier owner."""

    __slots__ = ("agent", "incarnation", "attempt", "outcome", "payload")

    def __init__(
        self, *, agent: str, incarnation: str, attempt: int, outcome: Outcome, payload: bytes
    ) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.attempt = attempt
        self.outcome = outcome
        self.payload = payload


class FoundJob:
    """A job of an earlier owner, as far as ledgers know it."""

    __slots__ = ("digest", "tasks")

    def __init__(self, *, digest: bytes) -> None:
        self.digest = digest
        self.tasks: dict[int, list[FoundTask]] = {}


class Waiting:
    """A submission that waits until the takeover of its partition is over."""

    __slots__ = ("submission", "listeners")

    def __init__(self, *, submission: Submission) -> None:
        self.submission = submission
        self.listeners: set[str] = set()


class Holding:
    """A partition that this entry claims or owns.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch under which this entry claims it.
        claimed_at: Unix time in seconds at which the takeover began.
        open: True once tasks may be started.
        former: Newest epoch that agents knew before the takeover.
        handed: Epoch of the owner that has handed the partition over, `NO_EPOCH` for none.
        handed_since: Unix time in seconds; that owner knows every job issued later.
        confirmed: Agents that granted the epoch on their open link.
        granted: Agents that granted the epoch on any link.
        unknown: Agents whose ledgers were not read, and `ROSTER` while the list may be old.
        doubted: Whether `unknown` had members when it was last looked at.
        lost_at: Newest Unix time in seconds at which a ledger was lost before the takeover.
        lapse_at: Unix time in seconds after which no earlier owner starts tasks anywhere.
        forget_at: Unix time in seconds at which jobs of earlier owners are all over.
        found: Jobs of earlier owners.
        waiting: Submissions that wait for the takeover.
        jobs: Jobs by key.
    """

    __slots__ = (
        "partition",
        "epoch",
        "claimed_at",
        "open",
        "former",
        "handed",
        "handed_since",
        "confirmed",
        "granted",
        "unknown",
        "doubted",
        "lost_at",
        "lapse_at",
        "forget_at",
        "found",
        "waiting",
        "jobs",
    )

    def __init__(self, *, partition: int, claimed_at: float) -> None:
        self.partition = partition
        self.epoch: Epoch = NO_EPOCH
        self.claimed_at = claimed_at
        self.open = False
        self.former: Epoch = NO_EPOCH
        self.handed: Epoch = NO_EPOCH
        self.handed_since = 0.0
        self.confirmed: set[str] = set()
        self.granted: set[str] = set()
        self.unknown: set[str] = {ROSTER}
        self.doubted = False
        self.lost_at = 0.0
        self.lapse_at = 0.0
        self.forget_at = 0.0
        self.found: dict[JobKey, FoundJob] = {}
        self.waiting: dict[JobKey, Waiting] = {}
        self.jobs: dict[JobKey, Job] = {}


def keep_found(holding: Holding, record: LedgerRecord, agent: str, incarnation: str) -> None:
    """Stores a ledger record of a job that was not submitted to this entry yet."""
    found = holding.found.get(record.key)
    if found is None:
        found = holding.found[record.key] = FoundJob(digest=record.digest)
    task = FoundTask(
        agent=agent,
        incarnation=incarnation,
        attempt=record.attempt,
        outcome=record.outcome,
        payload=record.payload,
    )
    add_found(found, record.index, task)


def add_found(found: FoundJob, index: int, task: FoundTask) -> None:
    """Adds what one source says of a task, unless a newer word of the same agent is known."""
    known = found.tasks.setdefault(index, [])
    same = [other for other in known if other.agent == task.agent]
    if any(other.outcome > task.outcome for other in same):
        return
    known[:] = [other for other in known if other.agent != task.agent]
    known.append(task)


def is_handed_over(holding: Holding) -> bool:
    """Tells whether the owner just before this one has told all that it knew."""
    return bool(holding.handed.number) and holding.handed == holding.former


def is_lost_for_good(holding: Holding, issued_at: float, margin: float) -> bool:
    """Tells whether a ledger that is gone may have held tasks of a job.

    Args:
        holding: The partition.
        issued_at: Earliest Unix time in seconds at which the job can have been submitted.
        margin: Bound in seconds on how far the clock behind `issued_at` may be ahead.
    """
    known_since = holding.handed_since if is_handed_over(holding) else holding.lost_at
    return issued_at <= known_since + margin


def is_unread(holding: Holding, issued_at: float, margin: float) -> bool:
    """Tells whether an agent that wasn't read yet may have started tasks of a job.

    Arguments are those of `is_lost_for_good`.
    """
    if is_handed_over(holding):
        return False
    return bool(holding.unknown) and issued_at <= holding.lapse_at + margin
