"""Exceptions that a broken connection between two processes of the system raises."""

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

LINK_ERRORS = (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)
