"""Choice of targets for the startable tasks of a request."""

import math
from collections.abc import Set

from comfreysill.exchange.messages import Batch, Order
from comfreysill.placing.queue import LATE, pop_request, push_request
from comfreysill.placing.requests import conclude_request
from comfreysill.placing.state import Agent, EntryState, Promise, count, note_event
from comfreysill.request.request import Request, Task, place_task
from comfreysill.request.types import Step, Verdict, measure_chain

# An agent whose next frame is later by more than this gets no new tasks.
USABLE_SLACK_SECONDS = 0.2
# Seconds that a target in another availability zone counts as slower.
CROSS_ZONE_SECONDS = 0.004
RACK_FACTOR = 1.5
MISFIT_LIMIT = 24
# Run times that differ by less than this factor count as equal.
SPEED_BAND = 1.3
# A request that ends after this multiple of its latency objective is of no use any more.
LATE_FACTOR = 3.0


class Room:
    """What a target has left, as far as its entry knows."""

    __slots__ = ("agent", "cpu", "memory_mb", "gpus")

    def __init__(self, *, agent: Agent) -> None:
        self.agent = agent
        load = agent.load
        self.cpu = load.cpu - sum(promise.cpu for promise in agent.promises)
        self.memory_mb = load.memory_mb - sum(promise.memory_mb for promise in agent.promises)
        self.gpus = load.gpus - sum(promise.gpus for promise in agent.promises)


def place_waiting(state: EntryState, now: float) -> None:
    """Gives waiting tasks to targets that have room for them."""
    for service, queue in state.queues.items():
        if not queue:
            continue
        rooms = [Room(agent=agent) for agent in _find_usable(state, service, now)]
        if rooms:
            _place_queue(state, queue, rooms, now)


def refuse_unmeetable(state: EntryState, now: float) -> None:
    """Refuses waiting requests as soon as they can't end in time any more.

    Without a target nothing is known of its speed: then only the time that is left counts.
    """
    for service, queue in state.queues.items():
        if not queue:
            continue
        speeds = [agent.load.slowness for agent in _find_usable(state, service, now)]
        fastest = min(speeds, default=0.0)
        for entry in list(queue):
            request = entry[4]
            waits = request.verdict is None and not request.begun
            if waits and _is_hopeless(request, fastest, now):
                _refuse(state, request, now)


def _refuse(state: EntryState, request: Request, now: float) -> None:
    conclude_request(state, request, Verdict.NOT_RUN, "it can't end in time any more", now)


def _find_usable(state: EntryState, service: str, now: float) -> list[Agent]:
    return [
        agent
        for agent in state.agents.values()
        if is_usable(agent, now) and agent.profile.service == service
    ]


def is_usable(agent: Agent, now: float) -> bool:
    """Tells whether tasks may be given to an agent."""
    if not agent.connected or not agent.handshake_done or agent.profile is None:
        return False
    return (
        agent.load.accepting
        and now - agent.last_frame_at <= agent.next_seconds + USABLE_SLACK_SECONDS
    )


def _place_queue(state: EntryState, queue: list, rooms: list[Room], now: float) -> None:
    passed: list[Request] = []
    fastest = min(room.agent.load.slowness for room in rooms)
    while len(passed) < MISFIT_LIMIT:
        entry = pop_request(queue)
        if entry is None:
            break
        band, request = entry[0], entry[4]
        if not request.begun and _is_hopeless(request, fastest, now):
            _refuse(state, request, now)
            continue
        for number in list(request.pending):
            _place_step(state, request, number, rooms, band, now)
        if any(request.pending.values()):
            passed.append(request)
            if max(room.cpu for room in rooms) <= 0:
                break
    for request in passed:
        push_request(state, request, now)


def _is_hopeless(request: Request, fastest: float, now: float) -> bool:
    """Tells whether a request would end after the last moment at which it is of use."""
    objective = request.due_at - request.received_at
    chain = measure_chain(request.specification.steps)
    return now + fastest * chain > request.received_at + LATE_FACTOR * objective


def _place_step(
    state: EntryState, request: Request, number: int, rooms: list[Room], band: int, now: float
) -> None:
    tasks = request.pending[number]
    if not tasks:
        return
    step = request.specification.steps[number]
    fitting = [room for room in rooms if step.label in ("", *room.agent.profile.labels)]
    if not fitting:
        return
    times = {room.agent.name: _estimate_time(state, step, room.agent) for room in fitting}
    _forget_avoided(tasks, times.keys())
    left = request.due_at - now
    hopeful = min(times.values()) <= left and band != LATE
    fitting = [room for room in fitting if room.cpu >= step.cpu]
    fitting.sort(key=lambda room: _rank_room(state, room, times[room.agent.name], left))
    for room in fitting:
        if hopeful and times[room.agent.name] > left:
            return
        chosen = _choose_tasks(tasks, step, room)
        if chosen:
            _give_tasks(state, request, step, room, chosen, now)
        if not tasks:
            return


def _forget_avoided(tasks: list[Task], agents: Set[str]) -> None:
    """Lets tasks go anywhere again that have failed on every target there is."""
    for task in tasks:
        if task.avoided and agents <= set(task.avoided):
            task.avoided = ()


def _rank_room(state: EntryState, room: Room, seconds: float, left: float) -> tuple:
    """Returns the order of a target: in time, about as fast, in the same zone, most room.

    Targets of about the same speed count as equal, so that entries of different zones rarely
    choose the same one at a time.
    """
    band = round(math.log(max(seconds, 1e-3), SPEED_BAND))
    return seconds > left, band, room.agent.profile.zone != state.zone, -room.cpu


def _estimate_time(state: EntryState, step: Step, agent: Agent) -> float:
    seconds = step.estimate * agent.load.slowness
    if step.rack and step.rack not in agent.profile.labels:
        seconds *= RACK_FACTOR
    if agent.profile.zone != state.zone:
        seconds += CROSS_ZONE_SECONDS
    return seconds


def _choose_tasks(tasks: list[Task], step: Step, room: Room) -> list[Task]:
    """Returns as many of the tasks as the room holds."""
    fits = room.cpu // step.cpu if step.cpu else len(tasks)
    if step.memory_mb:
        fits = min(fits, room.memory_mb // step.memory_mb)
    if step.gpus:
        fits = min(fits, room.gpus // step.gpus)
    if step.per_target:
        key = (tasks[0].request, tasks[0].step)
        here = sum((task.request, task.step) == key for task in room.agent.tasks.values())
        fits = min(fits, step.per_target - here)
    name = room.agent.name
    return [task for task in tasks if name not in task.avoided][: max(0, fits)]


def _give_tasks(
    state: EntryState, request: Request, step: Step, room: Room, tasks: list[Task], now: float
) -> None:
    agent = room.agent
    if not request.begun:
        seconds = now - request.received_at
        state.observe("wait_seconds", seconds, request.specification.route)
    note_event(
        state,
        "tasks placed",
        request=request.specification.request_id,
        agent=agent.name,
        tasks=[f"{task.step}/{task.index}#{task.attempt + 1}" for task in tasks],
        room=room.cpu,
        load_age=round(now - agent.last_frame_at, 3),
        waited=round(now - request.received_at, 3),
    )
    for task in tasks:
        place_task(task, agent.name)
        agent.tasks[task.name] = task
    agent.batches.append(_build_batch(request, step, tasks))
    _promise_room(room, step, len(tasks))
    count(state, "tasks_placed", len(tasks))


def _build_batch(request: Request, step: Step, tasks: list[Task]) -> Batch:
    specification = request.specification
    return Batch(
        request_id=specification.request_id,
        payload=specification.payload,
        priority=specification.priority,
        due=request.due_unix,
        cpu=step.cpu,
        memory_mb=step.memory_mb,
        gpus=step.gpus,
        estimate=step.estimate,
        orders=[Order(step=task.step, index=task.index, attempt=task.attempt) for task in tasks],
    )


def _promise_room(room: Room, step: Step, amount: int) -> None:
    promise = Promise(
        frame=room.agent.number + 1,
        cpu=step.cpu * amount,
        memory_mb=step.memory_mb * amount,
        gpus=step.gpus * amount,
    )
    room.agent.promises.append(promise)
    room.cpu -= promise.cpu
    room.memory_mb -= promise.memory_mb
    room.gpus -= promise.gpus
