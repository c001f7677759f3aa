"""Registration of a process in the member table, where the other processes find it."""

import asyncio
import logging

from result import Err

from comfreysill.platform.members import Member, write_member
from comfreysill.platform.store import StoreClient

logger = logging.getLogger(__name__)

INITIAL_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0


async def register_member(store: StoreClient, member: Member) -> None:
    """Writes a member's row, retrying with exponential backoff until the store accepts it."""
    delay = INITIAL_RETRY_SECONDS
    while isinstance(written := await write_member(store, member), Err):
        fields = {"why": written.err_value.detail, "retry_seconds": delay}
        logger.warning("registration failed; retrying", extra={"fields": fields})
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_RETRY_SECONDS)
    logger.info("registered", extra={"fields": {"name": member.name, "role": member.role}})
