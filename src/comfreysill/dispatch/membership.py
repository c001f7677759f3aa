"""Processes lost for long: for each, one live entry removes its registration."""

import xxhash

from comfreysill.dispatch.messages import MarkAgentLost, RemoveEntry
from comfreysill.dispatch.ownership import is_alive, list_live_entries
from comfreysill.dispatch.state import (
    AUTHORITY_SECONDS,
    CLOCK_SKEW_SECONDS,
    Dispatcher,
    count,
)
from comfreysill.partition.hashing import PARTITION_COUNT, choose_owner

LOST_AFTER_SECONDS = 30.0
REPORT_INTERVAL_SECONDS = 5.0


def report_lost_processes(dispatcher: Dispatcher, now: float) -> None:
    """Requests the removal of processes that this entry could not reach for long.

    Each registration has one responsible live entry, so that the loss of an availability zone
    doesn't cause a storm of writes. An agent that is removed while it still runs finds its
    registration missing and exits. Until then a former owner may start tasks there, so its
    ledger counts as lost only after the longest possible authority has ended.
    """
    if now < dispatcher.next_report_at or dispatcher.leaving:
        return
    dispatcher.next_report_at = now + REPORT_INTERVAL_SECONDS
    for target in dispatcher.targets.values():
        silent = not target.connected and now - target.disconnected_at >= LOST_AFTER_SECONDS
        if silent and _is_responsible_for(dispatcher, target.name, now):
            count(dispatcher, "agents_reported_lost")
            lost_at = now + AUTHORITY_SECONDS + 2 * CLOCK_SKEW_SECONDS
            incarnation = target.registration.incarnation
            dispatcher.effects.append(
                MarkAgentLost(agent=target.name, incarnation=incarnation, lost_at=lost_at)
            )
    for peer in dispatcher.peers.values():
        silent = not is_alive(peer, now) and now - peer.last_received_at >= LOST_AFTER_SECONDS
        if silent and _is_responsible_for(dispatcher, peer.name, now):
            count(dispatcher, "entries_reported_lost")
            dispatcher.effects.append(RemoveEntry(name=peer.name))


def _is_responsible_for(dispatcher: Dispatcher, name: str, now: float) -> bool:
    place = xxhash.xxh3_64_intdigest(name.encode()) % PARTITION_COUNT
    return choose_owner(place, list_live_entries(dispatcher, now)) == dispatcher.name
