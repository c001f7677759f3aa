"""Messages to the task that owns an entry's desk."""

from comfreysill.exchange.messages import AgentFrame, Announcement
from comfreysill.request.types import Specification, Verdict
from comfreysill.routes.table import RouteTable


class Reply:
    """What a caller is told.

    Attributes:
        verdict: The verdict on its request.
        detail: Why, for people.
        retry_seconds: Whole seconds after which a repetition makes sense, 0 for none.
    """

    __slots__ = ("verdict", "detail", "retry_seconds")

    def __init__(self, *, verdict: Verdict, detail: str = "", retry_seconds: int = 0) -> None:
        self.verdict = verdict
        self.detail = detail
        self.retry_seconds = retry_seconds


class Submit:
    """A caller hands a request in."""

    __slots__ = ("caller", "specification")

    def __init__(self, *, caller: int, specification: Specification) -> None:
        self.caller = caller
        self.specification = specification


class CallerLeft:
    """A caller's connection is gone."""

    __slots__ = ("caller",)

    def __init__(self, *, caller: int) -> None:
        self.caller = caller


class Cancel:
    """A caller cancels a request by its id."""

    __slots__ = ("request_id",)

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id


class LinkOpened:
    """A connection to an agent is open."""

    __slots__ = ("agent",)

    def __init__(self, *, agent: str) -> None:
        self.agent = agent


class LinkClosed:
    """A connection to an agent is gone."""

    __slots__ = ("agent", "session")

    def __init__(self, *, agent: str, session: int) -> None:
        self.agent = agent
        self.session = session


class AgentReported:
    """A frame of an agent has come."""

    __slots__ = ("frame",)

    def __init__(self, *, frame: AgentFrame) -> None:
        self.frame = frame


class AgentFound:
    """The address of an agent was learned."""

    __slots__ = ("announcement",)

    def __init__(self, *, announcement: Announcement) -> None:
        self.announcement = announcement


class EntriesFound:
    """Addresses of entries were learned."""

    __slots__ = ("addresses",)

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses


class RoutesRead:
    """A routing document was read; `text` is what others are given of it."""

    __slots__ = ("table", "text")

    def __init__(self, *, table: RouteTable, text: bytes) -> None:
        self.table = table
        self.text = text


class Tick:
    """Time has passed."""

    __slots__ = ()


class GiveUp:
    """Every request gets a verdict now, as the process ends."""

    __slots__ = ()


EntryStateMessage = (
    Submit
    | CallerLeft
    | Cancel
    | LinkOpened
    | LinkClosed
    | AgentReported
    | AgentFound
    | EntriesFound
    | RoutesRead
    | Tick
    | GiveUp
)
