"""Exceptions that end a connection between two entries, or an entry and an agent."""

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

LINK_ERRORS = (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)
