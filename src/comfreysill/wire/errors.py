"""Exceptions that end a connection between two entries, or an entry and an agent."""

import enum
import math
from typing import TypeVar

from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError


class FrameError(Exception):
    """A message has a field that is missing, unknown or out of range."""


EnumType = TypeVar("EnumType", bound=enum.IntEnum)


def decode_enum(kind: type[EnumType], value: int, field: str) -> EnumType:
    """Returns the member of an enumeration.

    Raises:
        FrameError: This version doesn't know the value.
    """
    try:
        return kind(value)
    except ValueError as error:
        raise FrameError(f"{field}: {value}") from error


def check_finite(value: float, field: str) -> float:
    """Returns a number that is neither infinite nor NaN.

    Raises:
        FrameError: It is.
    """
    if not math.isfinite(value):
        raise FrameError(f"{field}: {value}")
    return value


# The message can't be decoded.
UNREADABLE_ERRORS = (FrameError, DecodeError)
LINK_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    *UNREADABLE_ERRORS,
)
