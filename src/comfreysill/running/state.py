"""State of an agent: its runner, the runs on it, and the entries that gave them."""

import enum
import heapq
from collections import deque

from comfreysill.exchange.messages import (
    LEASE_MARGIN_SECONDS,
    RUN_LEASE_SECONDS,
    Batch,
    Ended,
    Order,
    Outcome,
)
from comfreysill.request.request import name_task
from comfreysill.running.calls import Call, Lifetime, RunnerReport


class RunState(enum.IntEnum):
    """State of a run at its agent.

    UNSURE stands for a start without an answer; the run holds its room until a renewal under a
    higher fencing token shows whether it is there.
    """

    WAITING = 0
    STARTING = 1
    UNSURE = 2
    RUNNING = 3
    STOPPING = 4


class Run:
    """One attempt of a task at this agent.

    Attributes:
        task: Name of the task.
        attempt: Number of the attempt at its entry.
        entry: Entry that gave it.
        batch: The batch that it came with.
        state: Its state.
        number: Number of the run at the runner, 0 before the first start.
        tries: How many starts were sent.
        changed_at: Boot-clock time in seconds of the last change of state.
        resolving_token: Token of the renewal that settles an unsure start.
        stop_wanted: True once it has to be stopped as soon as it is known to run.
        stop_sent_at: Boot-clock time in seconds of the last order to stop.
        reason: Why it is stopped, for people.
        percent: Share of its work that is done, as the runner lists it.
        progress_at: Boot-clock time in seconds at which that share last changed.
    """

    __slots__ = (
        "task",
        "attempt",
        "entry",
        "batch",
        "state",
        "number",
        "tries",
        "changed_at",
        "resolving_token",
        "stop_wanted",
        "stop_sent_at",
        "reason",
        "percent",
        "progress_at",
    )

    def __init__(self, *, entry: str, batch: Batch, order: Order, now: float) -> None:
        self.task = name_task(batch.request_id, order.step, order.index)
        self.attempt = order.attempt
        self.entry = entry
        self.batch = batch
        self.state = RunState.WAITING
        self.number = 0
        self.tries = 0
        self.changed_at = now
        self.resolving_token = 0
        self.stop_wanted = False
        self.stop_sent_at = 0.0
        self.reason = ""
        self.percent = 0.0
        self.progress_at = now


class EntrySession:
    """An entry as its agent knows it.

    Attributes:
        entry: Name of the entry's process.
        number: Number of the open link, 0 while none is open.
        newest: Highest number of a link so far.
        seen: Number of the newest frame of the link.
        lease_until: Boot-clock time in seconds until which the entry's tasks may run.
        demand_rank: Rank of the most urgent task that the entry can't place, 0 while there is none.
        told_at: Boot-clock time in seconds at which it was last told of free room.
        accepting_sent: What the last frame said about taking new work.
        ended: Ends that the entry hasn't confirmed.
        next_end: Number of the next end.
        end_sent: Number of the newest end that was sent on the open link.
        opened: True once the first frame of the link was sent.
        profile_sent: Version of the profile that was sent on the link.
        sent_at: Boot-clock time in seconds of the last frame.
        address: Address of the entry.
    """

    __slots__ = (
        "entry",
        "number",
        "newest",
        "seen",
        "lease_until",
        "demand_rank",
        "told_at",
        "accepting_sent",
        "ended",
        "next_end",
        "end_sent",
        "opened",
        "profile_sent",
        "sent_at",
        "address",
    )

    def __init__(self, *, entry: str) -> None:
        self.entry = entry
        self.number = 0
        self.newest = 0
        self.seen = 0
        self.lease_until = 0.0
        self.demand_rank = 0
        self.told_at = 0.0
        self.accepting_sent = False
        self.ended: deque[Ended] = deque()
        self.next_end = 1
        self.end_sent = 0
        self.opened = False
        self.profile_sent = -1
        self.sent_at = 0.0
        self.address = ""


class AgentState:
    """All that one agent knows; the functions of this package change it.

    Attributes:
        agent: Name of the agent's instance.
        lifetime: Lifetime of its process.
        report: Newest report of the runner, None while none is known.
        target: Life of the runner that calls go to, None while it is unknown or gone.
        profile_version: Raised with each change of the runner.
        token: Fencing token of the next call.
        clock_ms: The runner's clock in milliseconds at `clock_at`, -1 while unknown.
        clock_at: Boot-clock time in seconds.
        ended_seen: Number of the newest end of the runner that was taken in.
        listed_ms: The runner's clock in milliseconds of the newest list of runs.
        settled: True once no run of an earlier agent is left on the runner.
        strays: When runs that nobody here asked for were told to stop, by task.
        runs: The runs by task.
        waiting: Heap of (priority, due, order, run) that wait for room.
        cpu_used: Thousandths of a core that runs hold, those being stopped included.
        renewals_out: How many renewals have no reply yet.
        urgent: True when a renewal has to go out at once.
        answered_at: Boot-clock time in seconds of the last answered renewal.
        lapsed_at: Boot-clock time in seconds by which all leases have lapsed.
        stopping: True once this process ends.
        failed_requests: Requests of which a task failed here since the last one that was done.
        suspended_until: Boot-clock time in seconds until which no work is taken.
        probing: True while the runner gets one task at a time.
        suspensions: How often in a row the target was suspended.
        slowness: Learned ratio of measured to declared run times.
        recent_slowness: The same ratio of what runs now, 0 while it is as usual.
        entries: Addresses of entries that this agent knows.
        routes_version: Newest version of the routing document that an entry is known to have.
        routes_holder: Address of that entry.
        calls: Calls for the process to make; it takes them.
        events: Facts worth a log line, as (text, fields); the process takes them.
    """

    __slots__ = (
        "agent",
        "lifetime",
        "zone",
        "report",
        "target",
        "profile_version",
        "token",
        "clock_ms",
        "clock_at",
        "ended_seen",
        "listed_ms",
        "settled",
        "strays",
        "runs",
        "waiting",
        "order",
        "cpu_used",
        "memory_used",
        "gpus_used",
        "cpu_waiting",
        "memory_waiting",
        "gpus_waiting",
        "renewals_out",
        "urgent",
        "answered_at",
        "lapsed_at",
        "stopping",
        "failed_requests",
        "suspended_until",
        "probing",
        "suspensions",
        "slowness",
        "recent_slowness",
        "samples",
        "sessions",
        "entries",
        "routes_version",
        "routes_holder",
        "run_number",
        "calls",
        "events",
        "counters",
    )

    def __init__(self, *, agent: str, lifetime: str, zone: str, token: int) -> None:
        self.agent = agent
        self.lifetime = lifetime
        self.zone = zone
        self.report: RunnerReport | None = None
        self.target: Lifetime | None = None
        self.profile_version = 0
        self.token = token
        self.run_number = token
        self.clock_ms = -1
        self.clock_at = 0.0
        self.ended_seen = 0
        self.listed_ms = 0
        self.settled = False
        self.strays: dict[str, float] = {}
        self.runs: dict[str, Run] = {}
        self.waiting: list[tuple[int, float, int, Run]] = []
        self.order = 0
        self.cpu_used = self.memory_used = self.gpus_used = 0
        self.cpu_waiting = self.memory_waiting = self.gpus_waiting = 0
        self.renewals_out = 0
        self.urgent = False
        self.answered_at = 0.0
        self.lapsed_at = 0.0
        self.stopping = False
        self.failed_requests: set[str] = set()
        self.suspended_until = 0.0
        self.probing = False
        self.suspensions = 0
        self.slowness = 1.0
        self.recent_slowness = 0.0
        self.samples = 0
        self.sessions: dict[str, EntrySession] = {}
        self.entries: set[str] = set()
        self.routes_version = 0
        self.routes_holder = ""
        self.calls: list[Call] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.counters: dict[str, int] = {}


def count(agent: AgentState, name: str) -> None:
    """Adds one to a counter."""
    agent.counters[name] = agent.counters.get(name, 0) + 1


def note_event(agent: AgentState, text: str, **fields: object) -> None:
    """Keeps a fact for the log."""
    agent.events.append((text, fields))


def read_clock(agent: AgentState, now: float) -> int:
    """Returns the runner's clock in milliseconds, -1 while it is unknown."""
    if agent.clock_ms < 0:
        return -1
    return agent.clock_ms + int((now - agent.clock_at) * 1000)


def set_clock(agent: AgentState, clock_ms: int, now: float) -> None:
    """Takes the runner's clock from a reply."""
    if clock_ms >= 0:
        agent.clock_ms = clock_ms
        agent.clock_at = now


def extend_lease(agent: AgentState, now: float) -> int:
    """Returns the end of a new lease on the runner's clock, 0 while that clock is unknown."""
    clock = read_clock(agent, now)
    if clock < 0:
        return 0
    until = now + RUN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
    agent.lapsed_at = max(agent.lapsed_at, until)
    return clock + int(RUN_LEASE_SECONDS * 1000)


def queue_run(agent: AgentState, run: Run) -> None:
    """Puts a run among those that wait for room."""
    run.state = RunState.WAITING
    agent.cpu_waiting += run.batch.cpu
    agent.memory_waiting += run.batch.memory_mb
    agent.gpus_waiting += run.batch.gpus
    agent.order += 1
    heapq.heappush(agent.waiting, (run.batch.priority, run.batch.due, agent.order, run))


def leave_queue(agent: AgentState, run: Run) -> None:
    """Takes a waiting run out of the sums; its place in the heap is passed over later."""
    agent.cpu_waiting -= run.batch.cpu
    agent.memory_waiting -= run.batch.memory_mb
    agent.gpus_waiting -= run.batch.gpus


def take_room(agent: AgentState, run: Run) -> None:
    """Reserves the room of a run."""
    agent.cpu_used += run.batch.cpu
    agent.memory_used += run.batch.memory_mb
    agent.gpus_used += run.batch.gpus


def free_room(agent: AgentState, run: Run) -> None:
    """Gives the room of a run back."""
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
    """Forgets a run that certainly doesn't run and tells its entry."""
    if run.state == RunState.WAITING:
        leave_queue(agent, run)
    else:
        free_room(agent, run)
    del agent.runs[run.task]
    run.state = RunState.STOPPING
    count(agent, f"runs_{outcome.name.lower()}")
    report_end(agent, run.entry, run.task, run.attempt, outcome, detail=detail, seconds=seconds)
    if outcome in (Outcome.RETURNED, Outcome.LOST):
        note_event(
            agent,
            "run ended early",
            task=run.task,
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
) -> None:
    """Tells an entry what became of an attempt, again and again until it has confirmed that."""
    session = agent.sessions.get(entry)
    if session is None:
        return
    session.ended.append(
        Ended(
            number=session.next_end,
            task=task,
            attempt=attempt,
            outcome=outcome,
            seconds=seconds,
            detail=detail,
        )
    )
    session.next_end += 1
