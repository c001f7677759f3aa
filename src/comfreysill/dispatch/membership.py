"""Removal from the roster of entries and agents that were unreachable for long."""

import xxhash

from comfreysill.dispatch.messages import MarkLedgerLost, RemoveEntry
from comfreysill.dispatch.ownership import is_alive, list_live_entries
from comfreysill.dispatch.state import (
    AUTHORITY_SECONDS,
    CLOCK_SKEW_SECONDS,
    Dispatcher,
    count,
)
from comfreysill.partition.hashing import PARTITION_COUNT, choose_owner

UNREACHABLE_REMOVAL_SECONDS = 30.0
REMOVAL_INTERVAL_SECONDS = 5.0


def request_removals(dispatcher: Dispatcher, now: float) -> None:
    """Requests to remove unreachable entries and to mark unreachable agents' ledgers as lost.

    Among the live entries one is responsible for each registration, so that they don't all write
    when an availability zone fails. An agent whose ledger is marked while it runs exits when it
    reads the mark. Until it exits, an earlier owner of a partition may start tasks at it for as
    long as that owner has authority; `lost_at` therefore lies after the latest possible end of it.
    """
    if now < dispatcher.next_removal_check_at or dispatcher.leaving:
        return
    dispatcher.next_removal_check_at = now + REMOVAL_INTERVAL_SECONDS
    for target in dispatcher.targets.values():
        unreachable = (
            not target.connected and now - target.disconnected_at >= UNREACHABLE_REMOVAL_SECONDS
        )
        if unreachable and _is_responsible_for(dispatcher, target.name, now):
            count(dispatcher, "agents_reported_lost")
            lost_at = now + AUTHORITY_SECONDS + 2 * CLOCK_SKEW_SECONDS
            incarnation = target.registration.incarnation
            dispatcher.effects.append(
                MarkLedgerLost(agent=target.name, incarnation=incarnation, lost_at=lost_at)
            )
    for peer in dispatcher.peers.values():
        unreachable = (
            not is_alive(peer, now) and now - peer.last_received_at >= UNREACHABLE_REMOVAL_SECONDS
        )
        if unreachable and _is_responsible_for(dispatcher, peer.name, now):
            count(dispatcher, "entries_reported_lost")
            dispatcher.effects.append(RemoveEntry(name=peer.name))


def _is_responsible_for(dispatcher: Dispatcher, name: str, now: float) -> bool:
    # Names are hashed to a partition number, which spreads them over the entries.
    pseudo_partition = xxhash.xxh3_64_intdigest(name.encode()) % PARTITION_COUNT
    return choose_owner(pseudo_partition, list_live_entries(dispatcher, now)) == dispatcher.name
