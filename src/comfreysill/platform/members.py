"""Rows of the member table: the entries and agents on the platform, and their addresses."""

import orjson
from result import Err, Ok, Result

from comfreysill.platform.store import (
    RowSet,
    RowWrite,
    StoreClient,
    StoreError,
    commit_rows,
    read_rows,
)

MEMBERS_TABLE = "members"


class Member:
    """An entry or an agent on the platform.

    Attributes:
        name: Instance name.
        role: `entry` or `agent`.
        address: Address of its gRPC service, `host:port`.
        service: Service of the target beside an agent, empty for an entry or if unknown.
    """

    __slots__ = ("name", "role", "address", "service")

    def __init__(self, *, name: str, role: str, address: str, service: str = "") -> None:
        self.name = name
        self.role = role
        self.address = address
        self.service = service


class MemberSet:
    """Members decoded from the rows of the whole table, or from its changed rows.

    Attributes:
        members: The members.
        version: Version of the store at which they were read.
        unreadable: Number of rows that could not be decoded.
    """

    __slots__ = ("members", "version", "unreadable")

    def __init__(self, *, members: list[Member], version: int, unreadable: int) -> None:
        self.members = members
        self.version = version
        self.unreadable = unreadable


async def write_member(store: StoreClient, member: Member) -> Result[int, StoreError]:
    """Writes the row of a member; the call is idempotent."""
    value = orjson.dumps(
        {"role": member.role, "address": member.address, "service": member.service}
    )
    write = RowWrite(key=member.name, value=value)
    return await commit_rows(store, MEMBERS_TABLE, (write,))


async def read_members(store: StoreClient) -> Result[MemberSet, StoreError]:
    """Reads all members."""
    answer = await read_rows(store, MEMBERS_TABLE)
    return answer if isinstance(answer, Err) else Ok(decode_members(answer.ok_value))


def decode_members(rows: RowSet) -> MemberSet:
    """Decodes member rows; removed ones are skipped, invalid ones are skipped and counted."""
    members, unreadable = [], 0
    for row in rows.rows:
        if row.value is None:
            continue
        try:
            document = orjson.loads(row.value)
            members.append(
                Member(
                    name=row.key,
                    role=document["role"],
                    address=document["address"],
                    service=document.get("service") or "",
                )
            )
        except (ValueError, KeyError, TypeError):
            unreadable += 1
    return MemberSet(members=members, version=rows.version, unreadable=unreadable)
