"""Exceptions that end a connection between two entries, or an entry and an agent."""

from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError


class FrameError(Exception):
    """A message has a field that is missing, unknown or out of range."""


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
