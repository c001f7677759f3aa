"""A run: one attempt of a task at an agent, and its states."""

import enum
import math

from comfreysill.exchange.messages import Batch, Order
from comfreysill.execution.calls import RunnerLifetime
from comfreysill.request.request import name_task


class RunState(enum.IntEnum):
    """State of a run at its agent.

    UNCONFIRMED is a start whose call got no answer. The call may be carried out late, also by a
    later lifetime of the runner under the same id, which has seen no fencing token. The run keeps
    its capacity reserved until a renewal with a higher token has been answered, by whichever
    lifetime is in use then, and shows whether the runner started it.
    """

    WAITING = 0
    STARTING = 1
    UNCONFIRMED = 2
    RUNNING = 3
    STOPPING = 4


class Run:
    """One attempt of a task at this agent; each start at the runner gets a new run number.

    Attributes:
        task: Name of the task.
        attempt: Attempt number assigned by the entry.
        moves: Number of earlier attempts that may have begun and didn't end by themselves.
        entry: Entry that owns the task.
        batch: Batch that contained the task.
        state: State of the run.
        number: Run number of the newest start, 0 before the first.
        start_calls_sent: Number of start calls sent for all its run numbers.
        changed_at: Boot-clock time in seconds of the last state change.
        lifetime: Runner lifetime that the newest start call was addressed to, None before it.
        late_until: Boot-clock time in seconds after which nothing runs of a start call that got no
            answer, 0 if all were answered. Until then the task starts nowhere else.
        held_until: Boot-clock time in seconds until which an accepted run waits for the next
            lifetime of its runner to list it, 0 unless its own has ended.
        listed: True once the runner has listed the newest start.
        resolving_token: Lowest token of renewals that resolve an unconfirmed start, 0 before any.
        stop_wanted: True if the run has to be stopped once it is known to run.
        stop_sent_at: Boot-clock time in seconds of the last stop call, 0 before the first.
        stop_due_at: Boot-clock time in seconds from which no run lease is renewed while the run may
            be at the runner; infinite unless its entry may hand the task to another target then.
        reason: Human-readable reason for the stop, empty if none was requested.
        percent: Progress in percent as last listed by the runner.
        progress_at: Boot-clock time in seconds at which `percent` last changed.
    """

    __slots__ = (
        "task",
        "attempt",
        "moves",
        "entry",
        "batch",
        "state",
        "number",
        "start_calls_sent",
        "changed_at",
        "lifetime",
        "late_until",
        "held_until",
        "listed",
        "resolving_token",
        "stop_wanted",
        "stop_sent_at",
        "stop_due_at",
        "reason",
        "percent",
        "progress_at",
    )

    def __init__(self, *, entry: str, batch: Batch, order: Order, now: float) -> None:
        self.task = name_task(batch.request_id, order.step, order.index)
        self.attempt = order.attempt
        self.moves = order.moves
        self.entry = entry
        self.batch = batch
        self.state = RunState.WAITING
        self.number = 0
        self.start_calls_sent = 0
        self.changed_at = now
        self.lifetime: RunnerLifetime | None = None
        self.late_until = 0.0
        self.held_until = 0.0
        self.listed = False
        self.resolving_token = 0
        self.stop_wanted = False
        self.stop_sent_at = 0.0
        self.stop_due_at = math.inf
        self.reason = ""
        self.percent = 0.0
        self.progress_at = now
