"""Conversion of announcements and members to and from their protobuf form."""

from comfreysill.exchange.messages import Member, Role
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.errors import FrameError
from comfreysill.wire.fields import MAX_NAME_CHARS, check_address, check_name

_ROLES = frozenset(Role)


def encode_announcement(agent: Member) -> pb.Announcement:
    """Encodes the announcement of an agent to an entry without a link to it."""
    return pb.Announcement(agent=agent.name, address=agent.address, service=agent.service)


def decode_announcement(message: pb.Announcement) -> Member:
    """Decodes an announcement.

    Raises:
        FrameError: The name or the address is invalid.
    """
    return Member(
        name=check_name(message.agent, "agent"),
        role=Role.AGENT,
        address=check_address(message.address, "address"),
        service=message.service[:MAX_NAME_CHARS],
    )


def encode_members(members: list[Member]) -> pb.Members:
    """Encodes members, which entries exchange while the store can't be read."""
    return pb.Members(
        members=[
            pb.Member(
                name=member.name,
                role=member.role,
                address=member.address,
                service=member.service,
            )
            for member in members
        ]
    )


def decode_members(message: pb.Members) -> tuple[list[Member], list[str]]:
    """Decodes members; those with a role that this version doesn't know are skipped.

    Returns:
        The members, and what is wrong with those whose name or address is invalid.
    """
    members, problems = [], []
    for member in message.members:
        if member.role not in _ROLES:
            continue
        try:
            members.append(_decode_member(member))
        except FrameError as error:
            problems.append(str(error))
    return members, problems


def _decode_member(message: pb.Member) -> Member:
    return Member(
        name=check_name(message.name, "members.name"),
        role=Role(message.role),
        address=check_address(message.address, "members.address"),
        service=message.service[:MAX_NAME_CHARS],
    )
