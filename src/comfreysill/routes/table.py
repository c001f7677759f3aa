"""Route tables, as decoded from routing documents."""


class Route:
    """Assigns requests for a host and path prefix to a service, with settings for them.

    Attributes:
        name: Name of the route, used in logs and metrics.
        host: Host name that callers address, without port.
        prefix: Path prefix, compared as text (`/a` also matches `/ab`); the longest match wins.
        service: Service whose targets run the tasks.
        priority: Priority of the requests, 0 is the highest.
        max_attempts: Number of failed attempts of a task after which its request fails.
        stretch: Factor on the critical path in the latency objective, see `Specification`.
        slack_seconds: Fixed part of the latency objective in seconds.
        advised: True if an advisory service names the targets that are allowed to run a step.
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
    """The routes of one version of the routing document.

    Attributes:
        version: Version of the document, 0 if there is none.
        max_body_bytes: Maximum size of an accepted request body, in bytes.
        by_host: Routes of each host, longest prefix first.
    """

    __slots__ = ("version", "max_body_bytes", "by_host")

    def __init__(self, *, version: int, max_body_bytes: int, routes: tuple[Route, ...]) -> None:
        self.version = version
        self.max_body_bytes = max_body_bytes
        self.by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_get_prefix_length, reverse=True):
            self.by_host.setdefault(route.host, []).append(route)


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)


NO_ROUTES = RouteTable(version=0, max_body_bytes=0, routes=())


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Returns the route of the host with the longest matching path prefix; None if none matches."""
    for route in table.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_newer(current: RouteTable, candidate: RouteTable) -> RouteTable:
    """Returns the table with the higher version, and the current one if both are equal."""
    return candidate if candidate.version > current.version else current
