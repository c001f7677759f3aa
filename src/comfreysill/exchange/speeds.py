"""Learned run times of the requests of a route on a target, as an agent tells entries."""


class RouteSpeed:
    """How much longer tasks of a route take on a target than others, against declared run times.

    Attributes:
        route: Name of the route.
        factor: Ratio of their measured to their declared run times, divided by that of all tasks.
        samples: Number of tasks from which it was learned.
        age: Seconds since the last of them ended.
    """

    __slots__ = ("route", "factor", "samples", "age")

    def __init__(self, *, route: str, factor: float, samples: int, age: float) -> None:
        self.route = route
        self.factor = factor
        self.samples = samples
        self.age = age
