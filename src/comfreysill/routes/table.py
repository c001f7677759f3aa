"""The routing document in force at an entry; its version never decreases."""


class Route:
    """A queue of a service, addressed by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name that callers address, without port.
        prefix: Path prefix; the longest matching one wins.
        service: Service whose targets run the tasks.
        priority: Priority, 0 is the highest.
        max_attempts: Number of failed runs of a task after which its job fails.
        stretch: Multiple of the critical path that the latency objective allows.
        slack_seconds: Seconds that the latency objective adds to that.
        advised: True if an advisory service names the targets that may run a step.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "service",
        "priority",
        "max_attempts",
        "stretch",
        "slack_seconds",
        "advised",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        service: str,
        priority: int,
        max_attempts: int,
        stretch: float,
        slack_seconds: float,
        advised: bool,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.slack_seconds = slack_seconds
        self.advised = advised


class RouteTable:
    """All routes of one version.

    Attributes:
        version: Version of the document, 0 for none.
        max_body_bytes: Maximum size of an accepted request body, in bytes.
        by_host: Routes of each host, longest prefix first.
    """

    __slots__ = ("version", "max_body_bytes", "by_host")

    def __init__(self, *, version: int, max_body_bytes: int, routes: tuple[Route, ...]) -> None:
        self.version = version
        self.max_body_bytes = max_body_bytes
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_measure_prefix, reverse=True):
            self.by_host.setdefault(route.host, []).append(route)


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)


NO_ROUTES = RouteTable(version=0, max_body_bytes=0, routes=())


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Returns the route of the host with the longest matching path prefix, None for none."""
    for route in table.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_newer(current: RouteTable, candidate: RouteTable) -> RouteTable:
    """Returns the table of the higher version, the current one if both are equal."""
    return candidate if candidate.version > current.version else current
