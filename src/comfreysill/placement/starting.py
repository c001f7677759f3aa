"""An entry that starts: when its first claims are made, and at how many entries.

It waits for links to the entries that it knows, as these may have its callers' requests. One whose
address refuses connections isn't up: it has no claim granted, and isn't waited for. But it may have
been a registrar until just now, of unknown name and rank, whose claims their holders are about to
make elsewhere.
"""

from comfreysill.exchange.messages import RUN_EXPIRY_SECONDS
from comfreysill.placement.state import EntryState

# Number of registrars of a request.
REGISTRARS = 2


def is_linking(state: EntryState, now: float) -> bool:
    """Returns whether this entry has just started and may soon be linked to its first peers."""
    if not state.linking_until:
        return len(state.entries) > 1
    is_linked = all(peer.usable or peer.duplicate or peer.refused for peer in state.peers.values())
    return now < state.linking_until and not is_linked


def count_unknown(state: EntryState, now: float) -> int:
    """Returns how many entries aren't up that may rank before those that are, by their names.

    From LINKING_SECONDS after the start on, they don't count.
    """
    return _count_refused(state) if now < state.linking_until else 0


def is_everyone_asked(state: EntryState, now: float) -> bool:
    """Returns whether claims are made at all entries, as both registrars of some may have ended.

    This entry, which has forgotten what it knew, may be one of them. Their holder itself is asked
    then, until it has made its claims at others.
    """
    is_starting = now < state.linking_until + RUN_EXPIRY_SECONDS
    return is_starting and _count_refused(state) >= REGISTRARS - 1


def _count_refused(state: EntryState) -> int:
    return sum(peer.refused and not peer.name for peer in state.peers.values())
