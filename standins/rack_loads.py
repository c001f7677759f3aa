"""Loads whose requests name racks, played on a virtual clock without a network.

Entries are real: their states decide as on the platform. Targets are a model: a number of cores,
a speed, and runs that take `remote_factor` times as long outside the rack of their data.
"""

import heapq
import random

from comfreysill.exchange.messages import AgentFrame, Batch, EntryFrame, Load, Outcome, Profile
from comfreysill.exchange.messages import Ended as TaskEnd
from comfreysill.execution.health import record_success
from comfreysill.execution.route_speeds import list_told_routes
from comfreysill.execution.state import AgentState
from comfreysill.placement.agents import (
    begin_session,
    collect_frames,
    discover_agent,
    end_session,
    expire_agents,
    receive_agent_frame,
)
from comfreysill.placement.effects import SendFrame, SendVerdict
from comfreysill.placement.placement import place_waiting, refuse_unmeetable
from comfreysill.placement.requests import expire_requests, submit_request
from comfreysill.placement.state import EntryState
from comfreysill.request.request import name_task
from comfreysill.request.types import CallerWait, Specification, Step, Verdict

HOP_SECONDS = 0.001
TICK_SECONDS = 0.05
FRAME_SECONDS = 0.15
CALLER_WAIT_SECONDS = 1.5
NOTIFIED_ENTRIES = 2
TARGET_CPU = 32_000
TASK_CPU = 3_300
SLOTS = TARGET_CPU // TASK_CPU
STRETCH, SLACK_SECONDS = 1.6, 0.06
# Tasks, seconds of a task, share of the requests and priority of each kind of request.
KINDS = ((8, 0.1, 0.24, 0), (4, 1.5, 0.05, 2), (2, 0.34, 0.71, 1))


class Scenario:
    """A load and the targets that it meets.

    Attributes:
        load: Work that is asked for, near its data, as a share of what the targets can do.
        remote_factor: Factor on run times outside the rack of the data.
        hot_share: Share of the requests that name the first rack; the others name any.
        estimate_factor: Factor by which all declared run times are off, beside those of each
            request, which are off by up to 40%.
        speeds: Speeds of the targets of each rack.
        lost_after: Seconds from the start until all targets of the first rack are lost; 0 if not.
        seconds: Length in seconds.
        seed: Seed of the load.
    """

    __slots__ = (
        "load",
        "remote_factor",
        "hot_share",
        "estimate_factor",
        "speeds",
        "lost_after",
        "seconds",
        "seed",
    )

    def __init__(
        self,
        *,
        load: float,
        remote_factor: float,
        hot_share: float = 0.5,
        estimate_factor: float = 1.0,
        speeds: tuple[tuple[float, ...], ...] = ((1.0, 1.0),) * 4,
        lost_after: float = 0.0,
        seconds: float = 8.0,
        seed: int = 1,
    ) -> None:
        self.load = load
        self.remote_factor = remote_factor
        self.hot_share = hot_share
        self.estimate_factor = estimate_factor
        self.speeds = speeds
        self.lost_after = lost_after
        self.seconds = seconds
        self.seed = seed


class ModelTarget:
    """A target and its agent.

    Attributes:
        name: Its name.
        rack: Label of its rack.
        speed: Its speed.
        alive: False once it is lost.
        cpu: Free CPU in thousandths of a core, without what waits.
        waiting: Batches and tasks that wait for room, the most urgent first.
        waiting_cpu: CPU that they need.
        seen: Number of the newest frame of each entry.
        demand: Demand rank in it.
        ended: Ends that were not told yet, by entry.
        end_count: Number of ends so far, by entry.
        health: State of the agent, of which the learned slowness is used.
    """

    __slots__ = (
        "name",
        "rack",
        "speed",
        "alive",
        "cpu",
        "waiting",
        "waiting_cpu",
        "seen",
        "demand",
        "ended",
        "end_count",
        "health",
    )

    def __init__(self, *, name: str, rack: str, speed: float, entries: int) -> None:
        self.name = name
        self.rack = rack
        self.speed = speed
        self.alive = True
        self.cpu = TARGET_CPU
        self.waiting: list[tuple[int, float, int, int, Batch, str]] = []
        self.waiting_cpu = 0
        self.seen = [0] * entries
        self.demand = [0] * entries
        self.ended: list[list[TaskEnd]] = [[] for _ in range(entries)]
        self.end_count = [0] * entries
        self.health = AgentState(agent=name, lifetime="1", zone="z", token=1)


class Play:
    """A play of a scenario.

    Attributes:
        scenario: The scenario.
        random: Source of the load.
        now: Boot-clock time in seconds.
        events: Heap of (time, count, action, arguments).
        event_count: Number of events so far.
        entries: States of the entries.
        targets: The targets, by name.
        racks: Racks of the data, by request id.
        due: Times in seconds by which requests have to be answered, by request id.
        sent: Times in seconds at which they were sent, by request id.
        answers: Times in seconds at which they were answered with a result, by request id.
        core_seconds: Core-seconds that runs took near their data, and far from it.
    """

    __slots__ = (
        "scenario",
        "random",
        "now",
        "events",
        "event_count",
        "entries",
        "targets",
        "racks",
        "due",
        "sent",
        "answers",
        "core_seconds",
    )

    def __init__(self, *, scenario: Scenario, choose=None, entries: int = 2) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.now = 100.0
        self.events: list[tuple] = []
        self.event_count = 0
        self.entries = [
            EntryState(
                name=f"e{number}@1",
                zone="z",
                unix_offset=0.0,
                remote_factor=scenario.remote_factor,
            )
            for number in range(entries)
        ]
        self.targets: dict[str, ModelTarget] = {}
        self.racks: dict[str, str] = {}
        self.due: dict[str, float] = {}
        self.sent: dict[str, float] = {}
        self.answers: dict[str, float] = {}
        self.core_seconds = [0.0, 0.0]
        for rack, speeds in enumerate(scenario.speeds):
            for number, speed in enumerate(speeds):
                name = f"t{rack}-{number}"
                self.targets[name] = ModelTarget(
                    name=name, rack=f"r{rack}", speed=speed, entries=entries
                )
        for state in self.entries:
            if choose is not None:
                state.waits.choose = choose


def play(scenario: Scenario, choose=None) -> Play:
    """Plays a scenario to its end; `choose` replaces the decision on waits."""
    run = Play(scenario=scenario, choose=choose)
    link_targets(run)
    _schedule(run, 0.1, _send_request)
    if scenario.lost_after:
        _schedule(run, scenario.lost_after, lose_rack, "r0")
    advance(run, scenario.seconds + 3 * CALLER_WAIT_SECONDS)
    return run


def link_targets(run: Play) -> None:
    """Links all entries to all targets."""
    for target in run.targets.values():
        for number, state in enumerate(run.entries):
            discover_agent(state, target.name, target.name)
            begin_session(state, target.name, run.now)
            _send_frame(run, target, number, opening=True)
            _schedule(run, FRAME_SECONDS, _send_periodic, target, number)
    for number in range(len(run.entries)):
        _schedule(run, TICK_SECONDS, _tick, number)


def advance(run: Play, seconds: float) -> None:
    """Lets time pass."""
    ends_at = run.now + seconds
    while run.events and run.events[0][0] <= ends_at:
        run.now, _, action, arguments = heapq.heappop(run.events)
        action(run, *arguments)
    run.now = ends_at


def count_on_time(run: Play) -> int:
    """Returns the number of requests that were answered on time."""
    return sum(answered <= run.due[request_id] for request_id, answered in run.answers.items())


def get_counter(run: Play, name: str) -> int:
    """Returns a counter summed over the entries."""
    return sum(state.counters.get(name, 0) for state in run.entries)


def _schedule(run: Play, delay: float, action, *arguments) -> None:
    run.event_count += 1
    heapq.heappush(run.events, (run.now + delay, run.event_count, action, arguments))


def _measure_capacity(scenario: Scenario) -> float:
    """Returns the task-seconds a second that the targets can do."""
    return SLOTS * sum(sum(speeds) for speeds in scenario.speeds)


def _send_request(run: Play) -> None:
    scenario = run.scenario
    work = sum(kind[0] * kind[1] * kind[2] for kind in KINDS)
    rate = scenario.load * _measure_capacity(scenario) / work
    if run.now < 100.0 + scenario.seconds:
        _schedule(run, run.random.expovariate(rate), _send_request)
    tasks, mean_seconds, _, priority = run.random.choices(KINDS, [kind[2] for kind in KINDS])[0]
    seconds = mean_seconds * run.random.lognormvariate(-0.08, 0.4)
    estimate = seconds * run.random.uniform(0.6, 1.4) * scenario.estimate_factor
    is_hot = run.random.random() < scenario.hot_share
    rack = "r0" if is_hot else f"r{run.random.randrange(len(scenario.speeds))}"
    number = run.random.randrange(len(run.entries))
    submit(
        run, number, tasks=tasks, seconds=seconds, estimate=estimate, rack=rack, priority=priority
    )


def submit(
    run: Play,
    number: int,
    *,
    tasks: int,
    seconds: float,
    rack: str,
    estimate: float = 0.0,
    priority: int = 0,
) -> str:
    """Sends a request to an entry.

    Args:
        run: The play.
        number: Number of the entry.
        tasks: Number of tasks.
        seconds: Run time in seconds of a task at speed 1 near its data.
        rack: Rack of the data, empty if it doesn't matter.
        estimate: Declared run time in seconds; the true one if it is 0.
        priority: Priority, 0 is the highest.

    Returns:
        The request's id.
    """
    estimate = estimate or seconds
    request_id = f"q{len(run.sent)}"
    run.racks[request_id] = rack
    run.sent[request_id] = run.now
    run.due[request_id] = run.now + STRETCH * seconds + SLACK_SECONDS
    specification = Specification(
        request_id=request_id,
        route=f"p{priority}",
        service="s",
        payload=str(seconds),
        steps=(Step(count=tasks, cpu=TASK_CPU, memory_mb=10, estimate=estimate, rack=rack),),
        priority=priority,
        max_attempts=2,
        stretch=STRETCH,
        slack_seconds=SLACK_SECONDS,
    )
    wait = CallerWait(
        sent_after=run.now, read_at=run.now, ends_at=run.now + CALLER_WAIT_SECONDS + 4 * seconds
    )
    submit_request(run.entries[number], len(run.sent), specification, run.now, wait)
    _flush(run, number)
    return request_id


def _tick(run: Play, number: int) -> None:
    state = run.entries[number]
    _schedule(run, TICK_SECONDS, _tick, number)
    expire_agents(state, run.now)
    refuse_unmeetable(state, run.now)
    _flush(run, number)


def _flush(run: Play, number: int) -> None:
    state = run.entries[number]
    state.acted_at = run.now
    expire_requests(state, run.now)
    place_waiting(state, run.now)
    collect_frames(state, run.now)
    effects, state.effects = state.effects, []
    state.events.clear()
    for effect in effects:
        if isinstance(effect, SendFrame):
            _schedule(run, HOP_SECONDS, _receive_orders, number, effect.agent, effect.frame)
        elif isinstance(effect, SendVerdict) and effect.verdict == Verdict.COMPLETED:
            run.answers[f"q{effect.caller - 1}"] = run.now


def _receive_orders(run: Play, number: int, name: str, frame: EntryFrame) -> None:
    target = run.targets[name]
    if not target.alive:
        return
    target.seen[number] = frame.number
    target.demand[number] = frame.demand_rank
    for batch in frame.batches:
        for order in batch.orders:
            task = name_task(batch.request_id, order.step, order.index)
            run.event_count += 1
            item = (batch.priority, batch.due, run.event_count, order.attempt, batch, task)
            heapq.heappush(target.waiting, (*item[:3], number, *item[3:]))
            target.waiting_cpu += batch.cpu
    _start_waiting(run, target)


def _start_waiting(run: Play, target: ModelTarget) -> None:
    while target.waiting and target.waiting[0][5].cpu <= target.cpu:
        _, _, _, number, attempt, batch, task = heapq.heappop(target.waiting)
        target.waiting_cpu -= batch.cpu
        target.cpu -= batch.cpu
        is_near = run.racks[batch.request_id] in ("", target.rack)
        factor = 1.0 if is_near else run.scenario.remote_factor
        seconds = float(batch.payload) * factor / target.speed
        run.core_seconds[not is_near] += seconds * batch.cpu / 1000
        _schedule(run, seconds, _end_run, target, number, attempt, batch, task, seconds)


def _end_run(
    run: Play,
    target: ModelTarget,
    number: int,
    attempt: int,
    batch: Batch,
    task: str,
    seconds: float,
) -> None:
    if not target.alive:
        return
    target.cpu += batch.cpu
    expected_seconds = batch.estimate * batch.run_factor
    record_success(target.health, seconds, expected_seconds, batch.route, run.now)
    target.end_count[number] += 1
    target.ended[number].append(
        TaskEnd(
            number=target.end_count[number],
            task=task,
            attempt=attempt,
            outcome=Outcome.DONE,
            seconds=seconds,
            detail="",
        )
    )
    _start_waiting(run, target)
    _send_frame(run, target, number)
    demanding = [other for other, rank in enumerate(target.demand) if rank and other != number]
    demanding.sort(key=lambda other: target.demand[other])
    for other in demanding[:NOTIFIED_ENTRIES]:
        _send_frame(run, target, other)


def _send_periodic(run: Play, target: ModelTarget, number: int) -> None:
    if target.alive:
        _schedule(run, FRAME_SECONDS, _send_periodic, target, number)
        _send_frame(run, target, number)


def _send_frame(run: Play, target: ModelTarget, number: int, opening: bool = False) -> None:
    ended, target.ended[number] = target.ended[number], []
    frame = AgentFrame(
        agent=target.name,
        lifetime="1",
        session=run.entries[number].agents[target.name].session,
        seen=target.seen[number],
        stamp=run.now,
        load=Load(
            accepting=True,
            cpu=target.cpu - target.waiting_cpu,
            memory_mb=100_000,
            gpus=0,
            slowness=target.health.slowness,
            routes=list_told_routes(target.health.route_speeds, run.now),
        ),
        profile=Profile(
            service="s",
            zone="z",
            cpu=TARGET_CPU,
            memory_mb=100_000,
            gpus=0,
            labels=("kind", target.rack),
        ),
        ended=ended,
        active=[],
        opening=opening,
        routes_version=0,
        routes_holder="",
        next_seconds=FRAME_SECONDS,
        crashes=(),
        unconfirmed=[],
        late_starts=(),
    )
    _schedule(run, 0.0 if opening else HOP_SECONDS, _receive_frame, number, frame)


def _receive_frame(run: Play, number: int, frame: AgentFrame) -> None:
    receive_agent_frame(run.entries[number], frame, run.now)
    _flush(run, number)


def lose_rack(run: Play, rack: str) -> None:
    """Cuts off all targets of a rack for good."""
    for target in run.targets.values():
        if target.rack == rack:
            target.alive = False
            for number, state in enumerate(run.entries):
                end_session(state, target.name, state.agents[target.name].session)
                _schedule(run, 0.0, _flush, number)
