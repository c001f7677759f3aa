"""The routing document in force at an entry; its version never goes back."""


class Route:
    """One queue of a service, named by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host that callers name.
        prefix: Path prefix; the longest one that fits decides.
        service: Service whose targets run the tasks.
        priority: Urgency, 0 goes first.
        max_attempts: How many runs of a task may fail before its job fails.
        stretch: Multiple of the longest chain of tasks that the latency objective allows.
        slack: Seconds that the latency objective allows on top of that.
        advised: True where an advisory service names the targets that may run a step.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "service",
        "priority",
        "max_attempts",
        "stretch",
        "slack",
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
        slack: float,
        advised: bool,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.slack = slack
        self.advised = advised


class RouteTable:
    """All routes of one version.

    Attributes:
        version: Version of the document, 0 for none.
        max_body_bytes: Longest request body that is taken, in bytes.
        by_host: Routes of each host, longest prefix first.
    """

    __slots__ = ("version", "max_body_bytes", "by_host")

    def __init__(self, *, version: int, max_body_bytes: int, routes: tuple[Route, ...]) -> None:
        self.version = version
        self.max_body_bytes = max_body_bytes
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_count_prefix, reverse=True):
            self.by_host.setdefault(route.host, []).append(route)


def _count_prefix(route: Route) -> int:
    return len(route.prefix)


NO_ROUTES = RouteTable(version=0, max_body_bytes=0, routes=())


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Returns the route with the longest prefix that the path begins with."""
    for route in table.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_newer(current: RouteTable, found: RouteTable) -> RouteTable:
    """Returns the table of the higher version; an old one never comes back."""
    return found if found.version > current.version else current
