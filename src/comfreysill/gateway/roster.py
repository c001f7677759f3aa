"""What entries on the platform tell each other and hear from agents: members and routes.

While an entry can't read the store, it learns both from the others.
"""

import logging
from collections.abc import Callable

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from comfreysill.exchange.messages import Member
from comfreysill.gateway.messages import EntryStateMessage, MembersDiscovered
from comfreysill.mailbox import Mailbox
from comfreysill.platform.rejections import RejectedEntry, Rejections, record_rejections
from comfreysill.roster_client import call_roster
from comfreysill.wire.errors import UNREADABLE_ERRORS
from comfreysill.wire.exchange_grpc import RosterBase, RosterStub
from comfreysill.wire.exchange_pb2 import Members, Nothing, RoutesText
from comfreysill.wire.members import decode_announcement, decode_members, encode_members

logger = logging.getLogger(__name__)


class RosterService(RosterBase):
    """gRPC service for announcements by agents and for other entries.

    Attributes:
        inbox: Mailbox of the state task.
        get_routes: Returns the undecoded routing document in use, empty if there is none.
        get_members: Returns the known entries and agents.
        rejections: Members that can't be used.
    """

    __slots__ = ("inbox", "get_routes", "get_members", "rejections")

    def __init__(
        self,
        *,
        inbox: Mailbox[EntryStateMessage],
        get_routes: Callable[[], bytes],
        get_members: Callable[[], list[Member]],
        rejections: Rejections,
    ) -> None:
        self.inbox = inbox
        self.get_routes = get_routes
        self.get_members = get_members
        self.rejections = rejections

    async def Announce(self, stream: Stream) -> None:  # noqa: N802
        """Queues the announcement of an agent for the state task."""
        self._discover(await _receive(stream, lambda message: [decode_announcement(message)]))
        await stream.send_message(Nothing())

    async def ReadRoutes(self, stream: Stream) -> None:  # noqa: N802
        """Sends the routing document in use, empty if there is none."""
        await stream.recv_message()
        await stream.send_message(RoutesText(text=self.get_routes()))

    async def ExchangeMembers(self, stream: Stream) -> None:  # noqa: N802
        """Queues the members that another entry names, and sends the known ones."""
        self._discover(
            await _receive(stream, lambda message: _read_members(message, self.rejections))
        )
        await stream.send_message(encode_members(self.get_members()))

    def _discover(self, members: list[Member]) -> None:
        if members:
            self.inbox.post(MembersDiscovered(members=members))


async def _receive(stream: Stream, decode: Callable[..., list[Member]]) -> list[Member]:
    """Receives the members in a request; an unreadable request is rejected.

    Raises:
        GRPCError: The request can't be decoded; the caller gets this error.
    """
    try:
        message = await stream.recv_message()
        return decode(message) if message is not None else []
    except UNREADABLE_ERRORS as error:
        fields = {"why": f"{type(error).__name__} {error}"}
        logger.warning("unreadable members rejected", extra={"fields": fields})
        raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


async def fetch_routes(address: str) -> bytes:
    """Fetches the routing document from another entry; empty if the call fails or it has none."""

    async def read(roster: RosterStub) -> bytes:
        return (await roster.ReadRoutes(Nothing())).text

    return await call_roster(address, read, b"")


def _read_members(message: Members, rejections: Rejections) -> list[Member]:
    """Decodes members; those that can't be used are counted and logged once."""
    members, problems = decode_members(message)
    entries = [RejectedEntry(name="", identity=why, why=why) for why in problems]
    record_rejections(rejections, "members of another entry", entries)
    return members


async def exchange_members(address: str, own: Member, rejections: Rejections) -> list[Member]:
    """Names this entry to another one; returns the members that it knows, none if it fails.

    Args:
        address: Address of the other entry, `host:port`.
        own: This entry.
        rejections: Records the members that can't be used.
    """

    async def exchange(roster: RosterStub) -> list[Member]:
        answer: Members = await roster.ExchangeMembers(encode_members([own]))
        return _read_members(answer, rejections)

    return await call_roster(address, exchange, [])
