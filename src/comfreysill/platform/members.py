"""Rows of the member table: the entries and agents on the platform, and their addresses."""

from typing import Literal, Required, TypedDict

import msgspec
from result import Err, Ok, Result

from comfreysill.address import parse_address
from comfreysill.exchange.messages import Member, Role
from comfreysill.platform.documents import (
    MAX_NAME_CHARS,
    Name,
    OptionalName,
    decode_document,
    encode_document,
)
from comfreysill.platform.rejections import RejectedEntry
from comfreysill.platform.store import (
    RowSet,
    RowWrite,
    StoreClient,
    StoreError,
    commit_rows,
    reject_row,
)

MEMBERS_TABLE = "members"

MemberDocument = TypedDict(
    "MemberDocument",
    {
        "role": Required[Literal["entry", "agent"]],
        "address": Required[Name],
        "service": OptionalName,
    },
    total=False,
)
_DECODER = msgspec.json.Decoder(MemberDocument)


class MemberSet:
    """Members decoded from the rows of the whole table, or from its changed rows.

    Attributes:
        members: The members; of several with the same address only the last one registered.
        removed: Names of members whose rows were removed.
        version: Version of the store at which they were read.
        rejected: Rows that could not be decoded.
    """

    __slots__ = ("members", "removed", "version", "rejected")

    def __init__(
        self,
        *,
        members: list[Member],
        removed: list[str],
        version: int,
        rejected: list[RejectedEntry],
    ) -> None:
        self.members = members
        self.removed = removed
        self.version = version
        self.rejected = rejected

    @property
    def unreadable(self) -> int:
        """Number of rows that could not be decoded."""
        return len(self.rejected)


async def write_member(store: StoreClient, member: Member) -> Result[int, StoreError]:
    """Writes the row of a member and returns its version; the call is idempotent."""
    value = encode_document(
        {"role": member.role, "address": member.address, "service": member.service}
    )
    write = RowWrite(key=member.name, value=value)
    return await commit_rows(store, MEMBERS_TABLE, (write,))


async def remove_member(store: StoreClient, name: str, version: int) -> Result[int, StoreError]:
    """Removes the row of a member, unless it was written again after `version`.

    A removal that is carried out late thus spares the row of a later process.
    """
    write = RowWrite(key=name, value=None, expected_version=version)
    return await commit_rows(store, MEMBERS_TABLE, (write,))


def decode_members(rows: RowSet) -> MemberSet:
    """Decodes member rows; invalid ones are skipped and counted."""
    by_address: dict[str, Member] = {}
    removed, rejected = [], []
    for row in sorted(rows.rows, key=lambda row: row.version):
        if row.value is None:
            removed.append(row.key)
            continue
        decoded = _decode_member(row.key, row.value)
        if isinstance(decoded, Err):
            rejected.append(reject_row(row, decoded.err_value))
            continue
        # The address of an instance that is gone may belong to another one now.
        by_address[decoded.ok_value.address] = decoded.ok_value
    return MemberSet(
        members=list(by_address.values()),
        removed=removed,
        version=rows.version,
        rejected=rejected,
    )


def _decode_member(name: str, value: bytes) -> Result[Member, str]:
    decoded = decode_document(_DECODER, value)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    if not 0 < len(name) <= MAX_NAME_CHARS:
        return Err(f"a name of {len(name)} characters")
    try:
        parse_address(document["address"])
    except ValueError as error:
        return Err(str(error))
    return Ok(
        Member(
            name=name,
            role=Role(document["role"]),
            address=document["address"],
            service=document.get("service", ""),
        )
    )
