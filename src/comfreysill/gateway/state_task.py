"""The asyncio task that owns the state of an entry on the platform."""

import logging

from comfreysill.clock import read_boot_clock
from comfreysill.containment import handle_contained
from comfreysill.gateway.actor import Actor
from comfreysill.gateway.handlers import CONTAINMENT, HANDLERS
from comfreysill.gateway.outcomes import carry_out_effects
from comfreysill.placement.agents import (
    collect_frames,
)
from comfreysill.placement.link_demand import update_links_by_need
from comfreysill.placement.peer_links import (
    collect_claims,
    update_peers,
)
from comfreysill.placement.placement import (
    place_waiting,
)
from comfreysill.placement.requests import (
    conclude_remote_ends,
    expire_requests,
)
from comfreysill.placement.state import EntryState
from comfreysill.placement.subset import update_subset

logger = logging.getLogger(__name__)


async def run_state_task(actor: Actor) -> None:
    """Processes messages and carries out the resulting effects until it is cancelled."""
    while True:
        messages = await actor.inbox.get_batch()
        now = read_boot_clock()
        for message in messages:
            handle_contained(actor, message, now, HANDLERS, CONTAINMENT)
        # The process may have been suspended meanwhile.
        _act(actor, read_boot_clock())


def _act(actor: Actor, now: float) -> None:
    """Does what the state asks for after messages or the passing of time."""
    state = actor.state
    update_subset(state, now)
    update_peers(state, now)
    conclude_remote_ends(state, now)
    expire_requests(state, now)
    place_waiting(state, now)
    update_links_by_need(state, now)
    collect_frames(state, now)
    collect_claims(state, now)
    carry_out_effects(actor, now)
    _write_events(state)


def _write_events(state: EntryState) -> None:
    events, state.events = state.events, []
    for text, fields in events:
        logger.info(text, extra={"fields": fields})
