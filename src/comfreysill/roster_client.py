"""Calls of the roster service, which entries offer to agents and to each other."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from grpclib.client import Channel

from comfreysill.address import parse_address
from comfreysill.wire.errors import LINK_ERRORS
from comfreysill.wire.exchange_grpc import RosterStub

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 0.4

T = TypeVar("T")


async def call_roster(address: str, call: Callable[[RosterStub], Awaitable[T]], otherwise: T) -> T:
    """Connects to the entry at an address and makes a call.

    Args:
        address: Address of the entry, `host:port`.
        call: Makes the call.
        otherwise: Returned if the connection or the call fails.
    """
    endpoint = parse_address(address)
    channel = Channel(endpoint.host, endpoint.port)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            return await call(RosterStub(channel))
    except LINK_ERRORS as error:
        fields = {"address": address, "why": f"{type(error).__name__} {error}"}
        logger.warning("call to an entry failed", extra={"fields": fields})
        return otherwise
    finally:
        channel.close()
