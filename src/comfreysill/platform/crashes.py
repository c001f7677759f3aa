"""Rows of the crash table: recent crashes of runners, and the tasks that may have caused them."""

from typing import Annotated, Required, TypedDict

import msgspec
from msgspec import Meta
from result import Err, Result

from comfreysill.crashes.report import CrashReport
from comfreysill.platform.documents import (
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
    read_rows,
    reject_row,
)

CRASHES_TABLE = "crashes"
# A row holds no more tasks, so that it stays below the store's limit of 64 KiB.
MAX_STORED_TASKS = 256

StoredTasks = Annotated[list[Name], Meta(max_length=MAX_STORED_TASKS)]
CrashDocument = TypedDict(
    "CrashDocument", {"tasks": Required[StoredTasks], "route": OptionalName}, total=False
)
_DECODER = msgspec.json.Decoder(CrashDocument)


class CrashSet:
    """Reports decoded from rows of the crash table.

    Attributes:
        reports: The reports, oldest first.
        rejected: Rows that could not be decoded.
    """

    __slots__ = ("reports", "rejected")

    def __init__(self, *, reports: list[CrashReport], rejected: list[RejectedEntry]) -> None:
        self.reports = reports
        self.rejected = rejected

    @property
    def unreadable(self) -> int:
        """Number of rows that could not be decoded."""
        return len(self.rejected)


async def write_crash(store: StoreClient, report: CrashReport) -> Result[int, StoreError]:
    """Writes the row of a crash and returns its version; the call is idempotent."""
    value = encode_document({"tasks": report.tasks[:MAX_STORED_TASKS], "route": report.route})
    return await commit_rows(store, CRASHES_TABLE, (RowWrite(key=report.crash_id, value=value),))


async def remove_crash(store: StoreClient, crash_id: str) -> Result[int, StoreError]:
    """Removes the row of a crash; the call is idempotent."""
    return await commit_rows(store, CRASHES_TABLE, (RowWrite(key=crash_id, value=None),))


async def list_crash_ids(store: StoreClient, agent: str) -> Result[list[str], StoreError]:
    """Returns the ids of the stored crashes that an agent has reported in any lifetime."""
    answer = await read_rows(store, CRASHES_TABLE, f"{agent}/")
    return answer.map(lambda rows: [row.key for row in rows.rows if row.value is not None])


def decode_crashes(rows: RowSet) -> CrashSet:
    """Decodes rows of the crash table; removed rows are skipped, invalid ones counted."""
    reports, rejected = [], []
    for row in sorted(rows.rows, key=lambda row: row.version):
        if row.value is None:
            continue
        decoded = decode_document(_DECODER, row.value)
        if isinstance(decoded, Err):
            rejected.append(reject_row(row, decoded.err_value))
            continue
        document = decoded.ok_value
        reports.append(
            CrashReport(
                crash_id=row.key,
                tasks=tuple(document["tasks"]),
                route=document.get("route", ""),
            )
        )
    return CrashSet(reports=reports, rejected=rejected)
