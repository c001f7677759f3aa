"""Rows of the store that tell which processes of the system are where."""

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
    """A process of the system.

    Attributes:
        name: Name of its instance.
        role: `entry` or `agent`.
        address: Address of its link service.
    """

    __slots__ = ("name", "role", "address")

    def __init__(self, *, name: str, role: str, address: str) -> None:
        self.name = name
        self.role = role
        self.address = address


class MemberSet:
    """Members, and the store's version as of which they were read."""

    __slots__ = ("members", "version", "unreadable")

    def __init__(self, *, members: list[Member], version: int, unreadable: int) -> None:
        self.members = members
        self.version = version
        self.unreadable = unreadable


async def write_member(store: StoreClient, member: Member) -> Result[int, StoreError]:
    """Makes a process known; repeating it does no harm."""
    value = orjson.dumps({"role": member.role, "address": member.address})
    write = RowWrite(key=member.name, value=value)
    return await commit_rows(store, MEMBERS_TABLE, (write,))


async def read_members(store: StoreClient) -> Result[MemberSet, StoreError]:
    """Reads all members."""
    answer = await read_rows(store, MEMBERS_TABLE)
    return answer if isinstance(answer, Err) else Ok(decode_members(answer.ok_value))


def decode_members(rows: RowSet) -> MemberSet:
    """Decodes rows; those that can't be read are counted and left out."""
    members, unreadable = [], 0
    for row in rows.rows:
        if row.value is None:
            continue
        try:
            document = orjson.loads(row.value)
            address = document["address"]
            members.append(Member(name=row.key, role=document["role"], address=address))
        except (ValueError, KeyError, TypeError):
            unreadable += 1
    return MemberSet(members=members, version=rows.version, unreadable=unreadable)
