"""Report of one crash of a runner."""

from comfreysill.request.request import get_request_id

# Reports are kept for this long: callers resubmit a request within a few seconds.
CRASH_RETENTION_SECONDS = 60.0


class CrashReport:
    """A crash of a runner, and the tasks that may have caused it.

    Attributes:
        crash_id: Id of the crash, `agent/lifetime of the agent/number of the crash`.
        tasks: Names of the tasks that may have been running, those started last first.
        route: Route of these tasks, empty if they are of several routes.
    """

    __slots__ = ("crash_id", "tasks", "route")

    def __init__(self, *, crash_id: str, tasks: tuple[str, ...], route: str = "") -> None:
        self.crash_id = crash_id
        self.tasks = tasks
        self.route = route


def get_agent_name(report: CrashReport) -> str:
    """Returns the name of the agent whose runner crashed."""
    return report.crash_id.partition("/")[0]


def list_request_ids(report: CrashReport) -> list[str]:
    """Returns the ids of the requests whose tasks were running, the last started first."""
    return list(dict.fromkeys(get_request_id(task) for task in report.tasks))
