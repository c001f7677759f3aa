"""Rows by which the operator requests that availability zones be evacuated.

A row's existence is the request, whatever its value is; its removal takes the zone back.
"""

from msgspec.json import Decoder

from comfreysill.platform.documents import decode_document
from comfreysill.platform.rejections import RejectedEntry
from comfreysill.platform.store import RowSet
from comfreysill.zones.closures import MAX_ZONE_CHARS, ZoneReading, ZoneStatus

EVACUATION_PREFIX = "evacuate/"
# A longer value was hardly written by the operator.
MAX_VALUE_BYTES = 4096
_DECODER = Decoder()


class EvacuationSet:
    """Requests decoded from rows of the operator's table.

    Attributes:
        reading: The zones.
        odd: Rows that close their zones, but whose values are odd.
        rejected: Rows whose keys name no zone.
    """

    __slots__ = ("reading", "odd", "rejected")

    def __init__(
        self, *, reading: ZoneReading, odd: list[RejectedEntry], rejected: list[RejectedEntry]
    ) -> None:
        self.reading = reading
        self.odd = odd
        self.rejected = rejected


def decode_evacuations(rows: RowSet) -> EvacuationSet:
    """Decodes the requests among rows of the operator's table; other rows are skipped."""
    statuses, undated = [], []
    odd, rejected = [], []
    for row in rows.rows:
        if not row.key.startswith(EVACUATION_PREFIX):
            continue
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        if not _is_zone(zone):
            why = f"a zone of {len(zone)} characters"
            rejected.append(RejectedEntry(name=row.key[:MAX_ZONE_CHARS], identity=zone, why=why))
            continue
        why = _find_oddity(row.value)
        if why:
            odd.append(RejectedEntry(name=row.key, identity=row.version, why=why))
        if row.version:
            closed = row.value is not None
            statuses.append(ZoneStatus(zone=zone, version=row.version, closed=closed))
        elif row.value is not None:
            undated.append(zone)
    for key in rows.unreadable:
        zone = key.removeprefix(EVACUATION_PREFIX)
        if key.startswith(EVACUATION_PREFIX) and _is_zone(zone):
            undated.append(zone)
    reading = ZoneReading(
        version=rows.version,
        statuses=tuple(statuses),
        undated=tuple(dict.fromkeys(undated)),
        whole=rows.whole,
    )
    return EvacuationSet(reading=reading, odd=odd, rejected=rejected)


def _is_zone(text: str) -> bool:
    return 0 < len(text) <= MAX_ZONE_CHARS and text.isprintable()


def _find_oddity(value: bytes | None) -> str:
    """Returns what is odd about the value of a row, empty if nothing is."""
    if value is None:
        return ""
    if len(value) > MAX_VALUE_BYTES:
        return f"a value of {len(value)} bytes"
    return decode_document(_DECODER, value).map(lambda _: "").unwrap_or_else(str)
