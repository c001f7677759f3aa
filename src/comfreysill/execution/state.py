"""State of an agent on the platform: its runner, the runs on it, and its links with entries."""

import heapq
from collections import deque

from comfreysill.crashes.report import CrashReport
from comfreysill.exchange.messages import (
    LEASE_MARGIN_SECONDS,
    RUN_LEASE_SECONDS,
    Ended,
    Outcome,
)
from comfreysill.execution.answer_times import AnswerTimes
from comfreysill.execution.calls import Call, RunnerLifetime, RunnerReport
from comfreysill.execution.entry_link import EntryLink
from comfreysill.execution.recent_crashes import RecentCrash, UnsettledCrash
from comfreysill.execution.route_speeds import RouteRecord
from comfreysill.execution.run import Run, RunState
from comfreysill.zones.closures import NO_CLOSURES

# A runner's clock may be 2% slow.
MIN_CLOCK_RATE = 0.98


class UnfinalStart:
    """A task with a start that may be carried out late, kept for the entries; see `unfinal_starts`.

    Attributes:
        number: Sequence number of its last change among all changes in the agent's lifetime, from
            1.
        task: Name of the task.
        run: The run that made the start, None if several runs of the task have made such starts.
        runner_id: Id of the runner that the start was addressed to.
        late_until: Boot-clock time in seconds after which nothing runs of the starts, 0 once they
            are final.
        expires_at: Boot-clock time in seconds from which it is no longer sent.
    """

    __slots__ = ("number", "task", "run", "runner_id", "late_until", "expires_at")

    def __init__(
        self, *, number: int, task: str, run: Run | None, runner_id: str, late_until: float
    ) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.runner_id = runner_id
        self.late_until = self.expires_at = late_until


class AgentState:
    """State of one agent, changed only by the functions of this package.

    Attributes:
        agent: Name of the agent's instance.
        lifetime: Id of the current run of its process.
        zone: Availability zone of the instance.
        report: Newest report of the runner, None if there is none.
        runner_lifetime: Run of the runner's process to call, None if it is unknown or has ended.
        deregistered: True once a runner with the id in use has deregistered, until it ends or
            reports again.
        departed_lifetime: Run of the runner's process that has ended last after a deregistration,
            None before; a report of it that arrives late is ignored.
        profile_version: Incremented whenever the runner's profile changes.
        token: Fencing token of the next call.
        clock_ms: The runner's clock in milliseconds at `clock_at`, -1 while unknown.
        clock_at: Boot-clock time in seconds at which `clock_ms` was received.
        runner_ends_seen: Sequence number of the runner lifetime's newest processed end, or 0.
        listed_at_ms: The runner's clock in milliseconds of the newest list of runs processed.
        reconciled: True once the runner lists no run that the agent doesn't know.
        orphan_stop_sent_at: Boot-clock seconds of the last stop call for orphaned runs, by task.
        runs: The runs by task.
        silent_runs: Runs that may have been at the runner when it fell silent, those started last
            first; empty once it has answered.
        open_starts: Run numbers of the start calls without a reply.
        waiting: Heap of (priority, due, queue sequence, run) waiting for capacity.
        queue_sequence: Sequence number of the last enqueued run; orders equal heap entries.
        isolated_runs: Number of runs that have to be isolated, waiting ones included.
        cpu_used: CPU reserved by runs, including those being stopped, in thousandths of a core.
        memory_used: Memory reserved by these runs in megabytes.
        gpus_used: GPUs reserved by these runs.
        cpu_waiting: CPU that waiting runs need, in thousandths of a core.
        memory_waiting: Memory that waiting runs need, in megabytes.
        gpus_waiting: GPUs that waiting runs need.
        renewals_in_flight: Number of renewals without a reply.
        renew_now: True if a renewal has to be sent at once.
        renewal_due_at: Boot-clock time in seconds before which no renewal is sent, 0 before the
            first one that failed.
        answered_at: Boot-clock time in seconds of the last answer of the runner to any call.
        answer_times: Answer times of the runner's current lifetime.
        disconnected: True if the runner has closed the connection of an open renewal since its last
            answer to one.
        leases_expire_at: Boot-clock time in seconds by which all run leases have expired.
        stopping: True once the process is shutting down.
        failed_requests: Requests with a failed task since the last successful task.
        suspended_until: Boot-clock time in seconds at which a suspension ends, 0 before the first.
        probing: True after a suspension, while the target is given one task at a time.
        suspensions: Number of consecutive suspensions, in which the target gets no new work.
        slowness: Smoothed ratio of measured to declared run times.
        recent_slowness: The same ratio projected from current runs, 0 if it is not elevated.
        slowness_samples: Number of run times in `slowness`.
        route_speeds: Learned run times of routes, by route.
        links: Links with entries by the entry's name.
        entries: Addresses of entries that the agent announces itself to.
        closures: What is known of closed availability zones.
        zone_opened_at: Boot-clock time in seconds at which this process learned that the target's
            zone, which was closed, is open; 0 if it wasn't closed.
        routes_version: Newest version of the routing document reported by an entry, 0 if none.
        routes_holder: Address of that entry, empty if unknown.
        last_run_number: Run number of the last start at the runner.
        last_end_number: Sequence number of the newest ended attempt, over all entries. It goes on
            when a link is removed and opened again, as the entry remembers the newest one it has
            processed.
        recent_crashes: Recent crashes of the runner, oldest first.
        last_crash_number: Sequence number of the last one, 0 before the first.
        unfinal_starts: Tasks with a start that isn't final, or wasn't until lately, by name; the
            one that changed first is first.
        last_unfinal_start_number: Sequence number of their last change, 0 before the first.
        unsettled_crashes: Crashes that some start calls without a reply may belong to.
        unsaved_crashes: Reports of crashes for the store, drained by the process.
        calls: Pending calls to the runner, drained by the process.
        events: Pending log lines as (text, fields), drained by the process.
        counters: Event counts by name.
    """

    __slots__ = (
        "agent",
        "lifetime",
        "zone",
        "report",
        "runner_lifetime",
        "deregistered",
        "departed_lifetime",
        "profile_version",
        "token",
        "clock_ms",
        "clock_at",
        "runner_ends_seen",
        "listed_at_ms",
        "reconciled",
        "orphan_stop_sent_at",
        "runs",
        "silent_runs",
        "open_starts",
        "waiting",
        "queue_sequence",
        "isolated_runs",
        "cpu_used",
        "memory_used",
        "gpus_used",
        "cpu_waiting",
        "memory_waiting",
        "gpus_waiting",
        "renewals_in_flight",
        "renew_now",
        "renewal_due_at",
        "answered_at",
        "answer_times",
        "disconnected",
        "leases_expire_at",
        "stopping",
        "failed_requests",
        "suspended_until",
        "probing",
        "suspensions",
        "slowness",
        "recent_slowness",
        "slowness_samples",
        "route_speeds",
        "links",
        "entries",
        "closures",
        "zone_opened_at",
        "routes_version",
        "routes_holder",
        "last_run_number",
        "last_end_number",
        "recent_crashes",
        "last_crash_number",
        "unfinal_starts",
        "last_unfinal_start_number",
        "unsettled_crashes",
        "unsaved_crashes",
        "calls",
        "events",
        "counters",
    )

    def __init__(self, *, agent: str, lifetime: str, zone: str, token: int) -> None:
        self.agent = agent
        self.lifetime = lifetime
        self.zone = zone
        self.report: RunnerReport | None = None
        self.runner_lifetime: RunnerLifetime | None = None
        self.deregistered = False
        self.departed_lifetime: RunnerLifetime | None = None
        self.profile_version = 0
        # Run numbers begin at the token, which grows with each lifetime of the agent.
        self.token = self.last_run_number = token
        self.last_end_number = 0
        self.clock_ms = -1
        self.clock_at = 0.0
        self.runner_ends_seen = self.listed_at_ms = 0
        self.reconciled = False
        self.orphan_stop_sent_at: dict[str, float] = {}
        self.runs: dict[str, Run] = {}
        self.silent_runs: list[Run] = []
        self.open_starts: set[int] = set()
        self.waiting: list[tuple[int, float, int, Run]] = []
        self.queue_sequence = 0
        self.isolated_runs = 0
        self.cpu_used = self.memory_used = self.gpus_used = 0
        self.cpu_waiting = self.memory_waiting = self.gpus_waiting = 0
        self.renewals_in_flight = 0
        self.renew_now = False
        self.renewal_due_at = self.answered_at = 0.0
        self.answer_times = AnswerTimes()
        self.disconnected = False
        self.leases_expire_at = 0.0
        self.stopping = False
        self.failed_requests: set[str] = set()
        self.suspended_until = 0.0
        self.probing = False
        self.suspensions = 0
        self.slowness = 1.0
        self.recent_slowness = 0.0
        self.slowness_samples = 0
        self.route_speeds: dict[str, RouteRecord] = {}
        self.links: dict[str, EntryLink] = {}
        self.entries: set[str] = set()
        self.closures = NO_CLOSURES
        self.zone_opened_at = 0.0
        self.routes_version = 0
        self.routes_holder = ""
        self.recent_crashes: deque[RecentCrash] = deque()
        self.last_crash_number = 0
        self.unfinal_starts: dict[str, UnfinalStart] = {}
        self.last_unfinal_start_number = 0
        self.unsettled_crashes: list[UnsettledCrash] = []
        self.unsaved_crashes: list[CrashReport] = []
        self.calls: list[Call] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counters: dict[str, int] = {}


def count(agent: AgentState, name: str) -> None:
    """Increments a counter."""
    agent.counters[name] = agent.counters.get(name, 0) + 1


def note_event(agent: AgentState, text: str, **fields: object) -> None:
    """Queues a log line for the process to write."""
    agent.events.append((text, fields))


def read_clock(agent: AgentState, now: float) -> int:
    """Returns the estimated current time on the runner's clock in ms, -1 while unknown."""
    if agent.clock_ms < 0:
        return -1
    return agent.clock_ms + int((now - agent.clock_at) * 1000)


def record_clock(agent: AgentState, clock_ms: int, now: float) -> None:
    """Records a reading of the runner's clock; a negative value is ignored."""
    if clock_ms >= 0:
        agent.clock_ms = clock_ms
        agent.clock_at = now


def grant_run_lease(agent: AgentState, now: float) -> int:
    """Returns the end of a new run lease in ms on the runner's clock, 0 while that is unknown.

    Also postpones `leases_expire_at` to the end of this lease.
    """
    if agent.clock_ms < 0:
        return 0
    until = now + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
    agent.leases_expire_at = max(agent.leases_expire_at, until)
    # A slow clock may be behind its estimated time.
    earliest_ms = agent.clock_ms + int((now - agent.clock_at) * MIN_CLOCK_RATE * 1000)
    return earliest_ms + int(RUN_LEASE_SECONDS * 1000)


def enqueue_run(agent: AgentState, run: Run) -> None:
    """Queues a run until capacity is free."""
    run.state = RunState.WAITING
    agent.cpu_waiting += run.batch.cpu
    agent.memory_waiting += run.batch.memory_mb
    agent.gpus_waiting += run.batch.gpus
    agent.queue_sequence += 1
    heapq.heappush(agent.waiting, (run.batch.priority, run.batch.due, agent.queue_sequence, run))


def subtract_waiting(agent: AgentState, run: Run) -> None:
    """Subtracts a run from the totals of waiting runs; `start_waiting` discards its heap entry."""
    agent.cpu_waiting -= run.batch.cpu
    agent.memory_waiting -= run.batch.memory_mb
    agent.gpus_waiting -= run.batch.gpus


def reserve_capacity(agent: AgentState, run: Run) -> None:
    """Adds the needs of a run to the reserved totals."""
    agent.cpu_used += run.batch.cpu
    agent.memory_used += run.batch.memory_mb
    agent.gpus_used += run.batch.gpus


def release_capacity(agent: AgentState, run: Run) -> None:
    """Subtracts the needs of a run from the reserved totals."""
    agent.cpu_used -= run.batch.cpu
    agent.memory_used -= run.batch.memory_mb
    agent.gpus_used -= run.batch.gpus


def end_run(
    agent: AgentState,
    run: Run,
    outcome: Outcome,
    now: float,
    detail: str = "",
    seconds: float = 0.0,
) -> None:
    """Removes a run that is known not to be running, and queues its end for the entry."""
    if run.state == RunState.WAITING:
        subtract_waiting(agent, run)
    else:
        release_capacity(agent, run)
    del agent.runs[run.task]
    agent.isolated_runs -= run.batch.isolated
    # No longer WAITING, so that `start_waiting` discards its heap entry.
    run.state = RunState.STOPPING
    count(agent, f"runs_{outcome.name.lower()}")
    report_end(
        agent,
        run.entry,
        run.task,
        run.attempt,
        outcome,
        detail=detail,
        seconds=seconds,
        late_seconds=max(0.0, run.late_until - now),
    )
    if outcome in (Outcome.RETURNED, Outcome.LOST):
        note_event(
            agent,
            "run ended early",
            task=run.task,
            entry=run.entry,
            attempt=run.attempt,
            outcome=outcome.name,
            why=detail or run.reason,
            age=round(now - run.changed_at, 3),
        )


def report_end(
    agent: AgentState,
    entry: str,
    task: str,
    attempt: int,
    outcome: Outcome,
    detail: str = "",
    seconds: float = 0.0,
    late_seconds: float = 0.0,
) -> None:
    """Queues the outcome of an attempt for its entry, until the entry acknowledges it."""
    link = agent.links.get(entry)
    if link is None:
        return
    agent.last_end_number += 1
    link.ended.append(
        Ended(
            number=agent.last_end_number,
            task=task,
            attempt=attempt,
            outcome=outcome,
            seconds=seconds,
            detail=detail,
            late_seconds=late_seconds,
        )
    )
