"""The ledger aggregate: the tasks that entries sent to an agent, and their outcomes."""

import heapq
from collections import deque

from comfreysill.job.types import JobKey, TaskClass
from comfreysill.partition.epoch import Epoch
from comfreysill.target.messages import (
    Outcome,
    RefusalCause,
    Refused,
    StartBatch,
    TaskStart,
)

RECORD_LIMIT = 200_000
RESULT_BYTES_LIMIT = 32 * 1024 * 1024
CLOCK_SKEW_SECONDS = 0.5


class Record:
    """One attempt of a task: its state, its result and what is needed to run it.

    Attributes:
        batch: Batch that contained the task; its `tasks` are empty.
        task: The task; its payload is dropped once the attempt has ended.
        outcome: State of the attempt.
        payload: Result of a finished task, or the error text of a failed one; empty before.
        run_seconds: Measured run time in seconds, 0 until the task has ended.
    """

    __slots__ = (
        "batch",
        "task",
        "outcome",
        "payload",
        "run_seconds",
    )

    def __init__(self, *, batch: StartBatch, task: TaskStart) -> None:
        self.batch = batch
        self.task = task
        self.outcome = Outcome.QUEUED
        self.payload = b""
        self.run_seconds = 0.0


class Session:
    """Newest session of the link to one entry: one connection, on which frames are numbered.

    Attributes:
        number: Number of the session, incremented by the entry with each connection.
        open: True while the session is open.
        received_sequence: Sequence number of the last frame received, 0 before the first.
        acknowledged_sequence: Sequence number last acknowledged to the entry, 0 before the first.
        unacknowledged_since: Unix time in seconds at which the oldest unacknowledged frame
            was received, 0 before the first; meaningless while all frames are acknowledged.
        ack_requested: True when a frame is to be acknowledged without delay.
        sent_sequence: Sequence number of the last frame sent, 0 before the first.
        load_wanted: True while the entry waits for a report of a free slot.
        closed_at: Unix time in seconds at which the session was closed, 0 while it is open.
    """

    __slots__ = (
        "number",
        "open",
        "received_sequence",
        "acknowledged_sequence",
        "unacknowledged_since",
        "ack_requested",
        "sent_sequence",
        "load_wanted",
        "closed_at",
    )

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.open = True
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.unacknowledged_since = 0.0
        self.ack_requested = False
        self.sent_sequence = 0
        self.load_wanted = False
        self.closed_at = 0.0


class Ledger:
    """Enforces that a task starts at most once at this target.

    An idempotent task may start again after an attempt that failed or was lost.

    Attributes:
        agent: Name of the agent.
        incarnation: Id of one run of the agent's process; the ledger is lost with the process.
        lost_at: Unix time in seconds at which an earlier incarnation's ledger was lost, 0 for
            never.
        slots: Number of tasks the target can run at once; 0 until a runner has announced itself.
        queue_limit: Maximum number of queued tasks.
        services: Services whose tasks the runner runs.
        fences: Highest epoch granted for each partition.
        records: Records by job key and task index.
        record_count: Number of all records.
        result_bytes: Size of all stored results in bytes.
        running: Number of running tasks.
        queued: Number of queued tasks.
        active: Number of running or queued tasks by class.
        draining: True when no new tasks are accepted.
        operator_drain: True while an operator's drain order is in force.
        floor_version: Newest version of the floor document received from an entry, 0 for none.
        outbox: Messages to entries, as pairs of entry name and message.
        started: Records whose tasks are to be passed to the runner now.
        sessions: Newest session by entry.
        counters: Event counts by metric name.
        held_results: Results held back until other tasks of their job end, by job key.
        hold_deadlines: Pairs of the Unix time in seconds at which held results are reported
            regardless, and their job key.
        waiting: Heap of (class, deadline, tie-breaker, record); records that are no longer
            queued are skipped when they are popped.
        expiries: Heap of (Unix time in seconds of the expiry, tie-breaker, job key).
    """

    __slots__ = (
        "agent",
        "incarnation",
        "lost_at",
        "slots",
        "queue_limit",
        "services",
        "fences",
        "records",
        "record_count",
        "result_bytes",
        "running",
        "queued",
        "active",
        "draining",
        "operator_drain",
        "floor_version",
        "outbox",
        "started",
        "sessions",
        "counters",
        "held_results",
        "hold_deadlines",
        "waiting",
        "expiries",
        "_tie_breaker",
    )

    def __init__(self, *, agent: str, incarnation: str) -> None:
        self.agent = agent
        self.incarnation = incarnation
        self.lost_at = 0.0
        self.slots = 0
        self.queue_limit = 0
        self.services: frozenset[str] = frozenset()
        self.fences: dict[int, Epoch] = {}
        self.records: dict[JobKey, dict[int, Record]] = {}
        self.record_count = 0
        self.result_bytes = 0
        self.running = 0
        self.queued = 0
        self.active = [0] * len(TaskClass)
        self.draining = False
        self.operator_drain = False
        self.floor_version = 0
        self.outbox: list[tuple[str, object]] = []
        self.started: list[Record] = []
        self.sessions: dict[str, Session] = {}
        self.counters: dict[str, int] = {}
        self.held_results: dict[JobKey, list[Record]] = {}
        self.hold_deadlines: deque[tuple[float, JobKey]] = deque()
        self.waiting: list[tuple[int, float, int, Record]] = []
        self.expiries: list[tuple[float, int, JobKey]] = []
        self._tie_breaker = 0

    def next_tie_breaker(self) -> int:
        """Returns an increasing number that orders heap items of equal priority."""
        self._tie_breaker += 1
        return self._tie_breaker


def open_session(ledger: Ledger, entry: str, number: int) -> bool:
    """Opens a session, from then on the only one on which frames of the entry are accepted.

    Returns:
        False if the entry has already opened a session with this number or a higher one.
    """
    session = ledger.sessions.get(entry)
    if session is not None and session.number >= number:
        return False
    ledger.sessions[entry] = Session(number=number)
    return True


def close_session(ledger: Ledger, entry: str, number: int, now: float) -> None:
    """Closes a session; until `expire_sessions` removes it, its number can't be opened again."""
    session = ledger.sessions.get(entry)
    if session is not None and session.number == number:
        session.open = False
        session.closed_at = now


def start_waiting(ledger: Ledger, now: float) -> None:
    """Starts queued tasks while slots are free, most urgent first."""
    while ledger.waiting and ledger.running < ledger.slots:
        record = heapq.heappop(ledger.waiting)[3]
        if record.outcome != Outcome.QUEUED:
            continue
        ledger.queued -= 1
        if record.batch.deadline <= now:
            refuse_record(ledger, record, RefusalCause.EXPIRED)
            continue
        record.outcome = Outcome.STARTED
        ledger.running += 1
        ledger.started.append(record)


def drain(ledger: Ledger) -> None:
    """Stops accepting new tasks and refuses queued ones as not run."""
    ledger.draining = True
    while ledger.waiting:
        record = heapq.heappop(ledger.waiting)[3]
        if record.outcome == Outcome.QUEUED:
            ledger.queued -= 1
            refuse_record(ledger, record, RefusalCause.DRAINING)


def expire_records(ledger: Ledger, now: float) -> None:
    """Removes expired records; the records of a job with a running task are kept until it ends."""
    while ledger.expiries and ledger.expiries[0][0] <= now:
        _, tie_breaker, key = heapq.heappop(ledger.expiries)
        tasks = ledger.records.get(key)
        if tasks is None:
            continue
        if any(record.outcome == Outcome.STARTED for record in tasks.values()):
            heapq.heappush(ledger.expiries, (now + 1.0, tie_breaker, key))
            continue
        for record in list(tasks.values()):
            if record.outcome == Outcome.QUEUED:
                ledger.queued -= 1
                refuse_record(ledger, record, RefusalCause.EXPIRED)
                continue
            remove_record(ledger, record)


def refuse_record(ledger: Ledger, record: Record, cause: RefusalCause) -> None:
    """Removes the record of a task that was not run, and notifies the owner of its partition."""
    # Any outcome but QUEUED would do: a record that is still in `waiting` is then skipped.
    record.outcome = Outcome.LOST
    ledger.active[record.batch.task_class] -= 1
    remove_record(ledger, record)
    owner = ledger.fences[record.batch.partition].owner
    refuse_tasks(ledger, owner, record.batch, (record.task,), cause)


def refuse_tasks(
    ledger: Ledger,
    entry: str,
    batch: StartBatch,
    tasks: tuple[TaskStart, ...],
    cause: RefusalCause,
) -> None:
    """Queues a notification to an entry that this agent did not run attempts and never will."""
    count(ledger, f"refused_{cause.name.lower()}")
    attempts = tuple((task.index, task.attempt) for task in tasks)
    message = Refused(key=batch.key, attempts=attempts, cause=cause)
    ledger.outbox.append((entry, message))


def remove_record(ledger: Ledger, record: Record) -> None:
    """Removes a record; a job is removed from the ledger with its last record."""
    tasks = ledger.records[record.batch.key]
    del tasks[record.task.index]
    ledger.record_count -= 1
    ledger.result_bytes -= len(record.payload)
    if not tasks:
        del ledger.records[record.batch.key]


def count(ledger: Ledger, name: str) -> None:
    """Increments a counter."""
    ledger.counters[name] = ledger.counters.get(name, 0) + 1
