"""Decoding of JSON from outside into dictionaries whose fields are checked for type and range.

A document type is a `TypedDict`; fields that it doesn't name are skipped. Each field is bounded, so
that no value overflows a field of a message or makes the decisions do unbounded work.
"""

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

# Largest value of the 32-bit fields in which amounts are passed on.
MAX_AMOUNT = 2**31 - 1
# Largest integer that every JSON implementation represents exactly.
MAX_INTEGER = 2**53 - 1
MAX_NAME_CHARS = 200
MAX_DURATION_MS = 86_400_000.0

Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
Integer = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_CHARS)]
DurationMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
ClockMs = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]

DocumentType = TypeVar("DocumentType")


def decode_document(
    decoder: msgspec.json.Decoder[DocumentType], body: bytes
) -> Result[DocumentType, str]:
    """Decodes a document; the error names the path of the invalid field, and the bound."""
    try:
        return Ok(decoder.decode(body))
    except (ValueError, RecursionError) as error:
        return Err(str(error))


def encode_document(document: Any) -> bytes:
    """Encodes a document of plain JSON types."""
    return msgspec.json.encode(document)
