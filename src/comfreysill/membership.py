"""Registration of an entry or agent on the platform: its row in the store's member table."""

import asyncio
import logging

from result import Err

from comfreysill.platform.members import Member, write_member
from comfreysill.platform.store import StoreClient

logger = logging.getLogger(__name__)

INITIAL_RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 4.0


async def register_member(store: StoreClient, member: Member) -> None:
    """Writes a member's row, retrying with exponential backoff until the store accepts it."""
    delay = INITIAL_RETRY_DELAY_SECONDS
    while isinstance(result := await write_member(store, member), Err):
        fields = {"why": result.err_value.detail, "retry_seconds": delay}
        logger.warning("registration failed; retrying", extra={"fields": fields})
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)
    logger.info("registered", extra={"fields": {"name": member.name, "role": member.role}})
