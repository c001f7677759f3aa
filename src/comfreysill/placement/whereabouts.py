"""Answers to the question where the tasks of a request would go, as an entry sees it."""


class Place:
    """A target that may run a task of a step.

    Attributes:
        agent: Name of the agent.
        zone: Availability zone of the target.
        near: Whether it is in the rack of the data, or no rack is named.
        run_seconds: Expected run time of a task in seconds.
        cpu: Free CPU in thousandths of a core, after reservations and the tasks before.
        load_age: Time in seconds since its load was received.
        task_count: Number of tasks that would go there now.
        reason: Why none would, empty if some would.
    """

    __slots__ = (
        "agent",
        "zone",
        "near",
        "run_seconds",
        "cpu",
        "load_age",
        "task_count",
        "reason",
    )

    def __init__(
        self,
        *,
        agent: str,
        zone: str,
        near: bool,
        run_seconds: float,
        cpu: int,
        load_age: float,
        task_count: int = 0,
        reason: str = "",
    ) -> None:
        self.agent = agent
        self.zone = zone
        self.near = near
        self.run_seconds = run_seconds
        self.cpu = cpu
        self.load_age = load_age
        self.task_count = task_count
        self.reason = reason


class Exclusion:
    """An agent whose target can't run a task now; `load_age` is infinite before the first frame."""

    __slots__ = ("agent", "reason", "load_age")

    def __init__(self, *, agent: str, reason: str, load_age: float) -> None:
        self.agent = agent
        self.reason = reason
        self.load_age = load_age


class StepPlaces:
    """Where the tasks of one step would go.

    Attributes:
        step: Index of the step.
        after: Indices of the steps that it waits for; its places are those of now all the same.
        task_count: Number of tasks that are not placed.
        suspect_count: Number of further tasks that are placed isolated only, which isn't foreseen.
        waiting_count: Number of those that wait for a place near their data.
        may_wait: True if some of the far tasks may wait for a busy target near their data instead.
        places: Candidates in the order in which placement tries them.
        excluded: The other agents of the service.
    """

    __slots__ = (
        "step",
        "after",
        "task_count",
        "suspect_count",
        "waiting_count",
        "may_wait",
        "places",
        "excluded",
    )

    def __init__(
        self,
        *,
        step: int,
        after: tuple[int, ...],
        task_count: int,
        suspect_count: int,
        waiting_count: int,
        places: list[Place],
        excluded: list[Exclusion],
        may_wait: bool = False,
    ) -> None:
        self.step = step
        self.after = after
        self.task_count = task_count
        self.suspect_count = suspect_count
        self.waiting_count = waiting_count
        self.may_wait = may_wait
        self.places = places
        self.excluded = excluded


class PlacedTask:
    """A placed task: its name, the name of its agent, and when it should end, in seconds."""

    __slots__ = ("task", "agent", "ends_in")

    def __init__(self, *, task: str, agent: str, ends_in: float) -> None:
        self.task = task
        self.agent = agent
        self.ends_in = ends_in


class Whereabouts:
    """Where the tasks of a request are or would go.

    Attributes:
        request_id: Id of the request, empty if it wasn't sent.
        known: False if this entry has no open request with the id.
        refused: Whether it would be refused now.
        reason: Why it would be refused, or wait; may be empty.
        retry_seconds: Seconds after which a refused caller may come back, 0 otherwise.
        refused_at: Boot-clock time in seconds at which it is refused if it doesn't begin before, 0
            if it has begun or is refused now.
        queued_ahead: Number of requests queued for the service, which aren't placed first here.
        placed: Its placed tasks.
        steps: Its steps with tasks that are not placed.
    """

    __slots__ = (
        "request_id",
        "known",
        "refused",
        "reason",
        "retry_seconds",
        "refused_at",
        "queued_ahead",
        "placed",
        "steps",
    )

    def __init__(self, *, request_id: str = "", known: bool = True) -> None:
        self.request_id = request_id
        self.known = known
        self.refused = False
        self.reason = ""
        self.retry_seconds = 0
        self.refused_at = 0.0
        self.queued_ahead = 0
        self.placed: list[PlacedTask] = []
        self.steps: list[StepPlaces] = []
