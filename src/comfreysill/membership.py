"""Registration of an entry or agent on the platform: its row in the store's member table.

The row stays when the process ends, as it is usually started again at the same address. It is
removed when the instance leaves for good.
"""

import asyncio
import logging

from result import Err

from comfreysill.exchange.messages import Member
from comfreysill.platform.members import remove_member, write_member
from comfreysill.platform.store import StoreClient

logger = logging.getLogger(__name__)

INITIAL_RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DELAY_SECONDS = 1.5


async def register_member(store: StoreClient, member: Member) -> int:
    """Writes a member's row, retrying with exponential backoff until the store accepts it.

    Returns:
        The version of the row.
    """
    delay = INITIAL_RETRY_DELAY_SECONDS
    while isinstance(result := await write_member(store, member), Err):
        fields = {"why": result.err_value.detail, "retry_seconds": delay}
        logger.warning("registration failed; retrying", extra={"fields": fields})
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_RETRY_DELAY_SECONDS)
    logger.info("registered", extra={"fields": {"name": member.name, "role": member.role}})
    return result.ok_value


async def deregister_member(store: StoreClient, name: str, registration: asyncio.Task[int]) -> None:
    """Removes a member's row, unless another process has written it since the registration."""
    if not registration.done() or registration.cancelled():
        return
    removed = await remove_member(store, name, registration.result())
    if isinstance(removed, Err):
        fields = {"name": name, "why": removed.err_value.detail}
        logger.warning("deregistration failed", extra={"fields": fields})
    else:
        logger.info("deregistered", extra={"fields": {"name": name}})
