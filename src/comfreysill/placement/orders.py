"""Orders of an entry to its agents: tasks are placed, and capacity is reserved for them."""

from comfreysill.exchange.messages import Batch, Order
from comfreysill.placement.agent_state import Agent, Reservation
from comfreysill.placement.claim_leases import find_lease_end
from comfreysill.placement.run_times import estimate_run_time, get_rack_factor
from comfreysill.placement.state import EntryState, count, note_event
from comfreysill.request.request import Request, Task, place_task
from comfreysill.request.types import Step


class Candidate:
    """A usable agent, and the free capacity of its target.

    Attributes:
        agent: The agent.
        cpu: Free CPU in thousandths of a core, after reservations; may be negative.
        memory_mb: Free memory in megabytes, after reservations; may be negative.
        gpus: Free GPUs, after reservations; may be negative.
        isolating: True if the target takes, or is about to take, isolated tasks only.
    """

    __slots__ = ("agent", "cpu", "memory_mb", "gpus", "isolating")

    def __init__(self, *, agent: Agent) -> None:
        self.agent = agent
        load = agent.load
        self.cpu = load.cpu - sum(reservation.cpu for reservation in agent.reservations)
        self.memory_mb = load.memory_mb - sum(
            reservation.memory_mb for reservation in agent.reservations
        )
        self.gpus = load.gpus - sum(reservation.gpus for reservation in agent.reservations)
        self.isolating = load.isolating or any(
            reservation.isolated for reservation in agent.reservations
        )


def place_tasks(
    state: EntryState,
    request: Request,
    step: Step,
    candidate: Candidate,
    tasks: list[Task],
    now: float,
    isolated: bool = False,
) -> None:
    """Places tasks of one step on a candidate.

    Isolated tasks reserve all of the target.
    """
    agent = candidate.agent
    if not request.begun:
        waited_seconds = now - request.received_at
        state.observe("wait_seconds", waited_seconds, request.specification.route)
    _note_placement(state, request, candidate, tasks, now, isolated)
    run_seconds = estimate_run_time(state, step, agent, request.specification.route)
    for task in tasks:
        place_task(task, agent.name)
        task.placed_at = now
        task.expected_end = now + run_seconds
        agent.tasks[task.name] = task
        agent.unconfirmed[task.name] = agent.last_sent_number + 1
    lease_end = find_lease_end(state, state.claims[request.specification.request_id])
    batch = _build_batch(agent, request, step, tasks, lease_end, isolated)
    batch.run_factor = get_rack_factor(state, step, agent)
    agent.batches.append(batch)
    count(state, "tasks_placed", len(tasks))
    if isolated:
        count(state, "tasks_isolated", len(tasks))
        _reserve_target(candidate)
    else:
        _reserve_capacity(candidate, step, len(tasks))


def _note_placement(
    state: EntryState,
    request: Request,
    candidate: Candidate,
    tasks: list[Task],
    now: float,
    isolated: bool,
) -> None:
    note_event(
        state,
        "tasks placed",
        request=request.specification.request_id,
        agent=candidate.agent.name,
        tasks=[f"{task.step}/{task.index}#{task.attempt + 1}" for task in tasks],
        room=candidate.cpu,
        load_age=round(now - candidate.agent.last_frame_at, 3),
        waited=round(now - request.received_at, 3),
        **({"isolated": True} if isolated else {}),
    )


def _build_batch(
    agent: Agent,
    request: Request,
    step: Step,
    tasks: list[Task],
    lease_end: float,
    isolated: bool,
) -> Batch:
    specification = request.specification
    return Batch(
        request_id=specification.request_id,
        route=specification.route,
        payload=specification.payload,
        priority=specification.priority,
        due=request.due_unix,
        cpu=step.cpu,
        memory_mb=step.memory_mb,
        gpus=step.gpus,
        estimate=step.estimate,
        orders=[
            Order(step=task.step, index=task.index, attempt=task.attempt, moves=task.moves)
            for task in tasks
        ],
        isolated=isolated,
        stop_at=_convert_to_agent_clock(agent, request.stop_at),
        valid_until=_convert_to_agent_clock(agent, lease_end),
    )


def _convert_to_agent_clock(agent: Agent, at: float) -> float:
    """Returns a boot-clock time on the boot clock of an agent, or an earlier one.

    The agent's newest timestamp was taken before it was received, so the result is early by the
    time that the frame took.
    """
    return agent.newest_timestamp + at - agent.last_frame_at


def _reserve_target(candidate: Candidate) -> None:
    candidate.isolating = True
    _reserve(
        candidate,
        Reservation(
            frame_number=candidate.agent.last_sent_number + 1,
            cpu=max(0, candidate.cpu),
            memory_mb=max(0, candidate.memory_mb),
            gpus=max(0, candidate.gpus),
            isolated=True,
        ),
    )


def _reserve_capacity(candidate: Candidate, step: Step, task_count: int) -> None:
    _reserve(
        candidate,
        Reservation(
            frame_number=candidate.agent.last_sent_number + 1,
            cpu=step.cpu * task_count,
            memory_mb=step.memory_mb * task_count,
            gpus=step.gpus * task_count,
        ),
    )


def _reserve(candidate: Candidate, reservation: Reservation) -> None:
    candidate.agent.reservations.append(reservation)
    candidate.cpu -= reservation.cpu
    candidate.memory_mb -= reservation.memory_mb
    candidate.gpus -= reservation.gpus
