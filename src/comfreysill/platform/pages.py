"""Decoding of the store's answers about rows.

One row that can't be decoded costs that row: the others of the page are decoded one by one.
"""

import base64
import re
from typing import Required, TypedDict

import msgspec
from result import Err, Ok, Result

from comfreysill.platform.documents import Integer, decode_document
from comfreysill.platform.rejections import RejectedEntry

# The store's answers have 1 MB at most; those above this bound aren't decoded row by row.
MAX_SCANNED_BYTES = 4 << 20
_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[{]+|[\]}]+|,", re.DOTALL)
# Inside an item, commas don't matter.
_INNER_TOKEN = re.compile(_STRING + rb"|[\[{]+|[\]}]+", re.DOTALL)
# A key that comes before anything nested.
_FLAT_KEY = re.compile(rb'\s*\{[^\[{]*?"key"\s*:\s*(' + _STRING + rb")", re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:(.*)", re.DOTALL)

RowDocument = TypedDict(
    "RowDocument",
    {"key": Required[str], "value": str | None, "ver": Integer, "tombstone": bool},
    total=False,
)
AnswerDocument = TypedDict(
    "AnswerDocument",
    {"rows": list[RowDocument], "ver": Integer, "has-more": bool},
    total=False,
)
RawAnswerDocument = TypedDict(
    "RawAnswerDocument",
    {"rows": list[msgspec.Raw], "ver": msgspec.Raw, "has-more": msgspec.Raw},
    total=False,
)
KeyDocument = TypedDict("KeyDocument", {"key": Required[str]}, total=False)
_DECODER = msgspec.json.Decoder(AnswerDocument)
_ROW_DECODER = msgspec.json.Decoder(RowDocument)
_RAW_DECODER = msgspec.json.Decoder(RawAnswerDocument)
_KEY_DECODER = msgspec.json.Decoder(KeyDocument)
_VERSION_DECODER = msgspec.json.Decoder(Integer)
_FLAG_DECODER = msgspec.json.Decoder(bool)


class StoredRow:
    """A row.

    Attributes:
        key: Key of the row.
        value: Its value, None if the row was removed; empty if the value is missing or can't be
            decoded.
        version: Version of the store at which it was written or removed last.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, *, key: str, value: bytes | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class RowPage:
    """The rows in one answer of the store.

    Attributes:
        rows: The rows.
        rejected: Rows that can't be decoded.
        version: Version of the store, 0 if the answer names none.
        has_more: Whether there are more rows.
        last_key: Key of the last row whose key can be read, empty if there is none.
    """

    __slots__ = ("rows", "rejected", "version", "has_more", "last_key")

    def __init__(
        self,
        *,
        rows: list[StoredRow],
        rejected: list[RejectedEntry],
        version: int,
        has_more: bool,
        last_key: str,
    ) -> None:
        self.rows = rows
        self.rejected = rejected
        self.version = version
        self.has_more = has_more
        self.last_key = last_key


def decode_page(text: bytes) -> Result[RowPage, str]:
    """Decodes an answer about rows; the error describes an answer that isn't one as a whole."""
    decoded = decode_document(_DECODER, text)
    if isinstance(decoded, Err):
        return _decode_row_by_row(text, decoded.err_value)
    document = decoded.ok_value
    rows = [_build_row(row) for row in document.get("rows", ())]
    return Ok(
        RowPage(
            rows=rows,
            rejected=[],
            version=document.get("ver", 0),
            has_more=document.get("has-more", False),
            last_key=rows[-1].key if rows else "",
        )
    )


def _decode_row_by_row(text: bytes, detail: str) -> Result[RowPage, str]:
    answer = _split_answer(text)
    if answer is None:
        return Err(detail)
    parts, version, has_more = answer
    rows: list[StoredRow] = []
    rejected: list[RejectedEntry] = []
    last_key = ""
    for part in parts:
        decoded = decode_document(_ROW_DECODER, part)
        if isinstance(decoded, Ok):
            rows.append(_build_row(decoded.ok_value))
            last_key = rows[-1].key
            continue
        key = _read_key(part)
        last_key = key or last_key
        rejected.append(RejectedEntry(name=key, identity=hash(part), why=decoded.err_value))
    newest = max((row.version for row in rows), default=0)
    return Ok(
        RowPage(
            rows=rows,
            rejected=rejected,
            version=decode_document(_VERSION_DECODER, version).unwrap_or(newest),
            has_more=decode_document(_FLAG_DECODER, has_more).unwrap_or(False),
            last_key=last_key,
        )
    )


def _read_key(part: bytes) -> str:
    """Returns the key of a row that can't be decoded, empty if the key can't be read either."""
    decoded = decode_document(_KEY_DECODER, part)
    if isinstance(decoded, Ok):
        return decoded.ok_value["key"]
    match = _FLAT_KEY.match(part)
    wrapped = decode_document(_KEY_DECODER, b'{"key":' + match[1] + b"}") if match else decoded
    return wrapped.ok_value["key"] if isinstance(wrapped, Ok) else ""


def _split_answer(text: bytes) -> tuple[list[bytes], bytes, bytes] | None:
    """Returns the undecoded rows, version and `has-more` of an answer; None if it has no rows."""
    decoded = decode_document(_RAW_DECODER, text)
    if isinstance(decoded, Ok):
        raw = decoded.ok_value
        rows = [bytes(row) for row in raw.get("rows", ())]
        return rows, bytes(raw.get("ver", b"")), bytes(raw.get("has-more", b""))
    members = _split_object(text) if len(text) <= MAX_SCANNED_BYTES else {}
    parts = _split(members.get(b'"rows"', b""), b"[")
    if parts is None:
        return None
    return parts, members.get(b'"ver"', b""), members.get(b'"has-more"', b"")


def _split_object(text: bytes) -> dict[bytes, bytes]:
    """Returns the undecoded values of an object by quoted name; empty if it isn't one."""
    matches = (_MEMBER.fullmatch(part) for part in _split(text, b"{") or ())
    return {match[1]: match[2] for match in matches if match}


def _split(text: bytes, opening: bytes) -> list[bytes] | None:
    """Splits an array or object into its undecoded items, however deeply they are nested.

    Args:
        text: Text of the array or object.
        opening: The bracket that it has to begin with.

    Returns:
        The items; None if the text has another form.
    """
    text = text.strip()
    if not text.startswith(opening):
        return None
    parts, depth, start, position = [], 1, 1, 1
    while match := (_TOKEN if depth == 1 else _INNER_TOKEN).search(text, position):
        token, position = match[0], match.end()
        if token[0] in b"[{":
            depth += len(token)
        elif token[0] in b"]}":
            if len(token) >= depth:
                parts.append(text[start : match.start() + depth - 1])
                return [part for part in parts if part.strip()]
            depth -= len(token)
        elif token == b",":
            parts.append(text[start : match.start()])
            start = position
    return None


def _build_row(document: RowDocument) -> StoredRow:
    # The store marks removed rows with `tombstone`; without it, a row without a value is invalid.
    value = None if document.get("tombstone") else _decode_value(document.get("value"))
    return StoredRow(key=document["key"], value=value, version=document.get("ver", 0))


def _decode_value(text: str | None) -> bytes:
    """Decodes the value of a row; an invalid one counts as empty, which no reader accepts."""
    try:
        return base64.b64decode(text or "")
    except ValueError:
        return b""
