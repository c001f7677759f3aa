"""Versions of the floor document at an entry: a newer one replaces the one in force."""

from comfreysill.dispatch.state import Dispatcher, Peer, count
from comfreysill.floor.document import Floor
from comfreysill.target.messages import FloorUpdate
from comfreysill.target.view import Target


def adopt_floor(dispatcher: Dispatcher, floor: Floor, text: bytes) -> bool:
    """Puts a version of the floor document in force.

    Args:
        dispatcher: The entry.
        floor: The parsed document.
        text: JSON text of the document, for agents and entries with an older version.

    Returns:
        False for a version that is not newer than the current one.
    """
    if floor.version <= dispatcher.floor.version:
        return False
    dispatcher.floor = floor
    dispatcher.floor_text = text
    count(dispatcher, "floors_adopted")
    return True


def send_floor_to_agent(dispatcher: Dispatcher, target: Target) -> None:
    """Queues the floor document for an agent with an older version, each version once a session."""
    version = dispatcher.floor.version
    if (
        target.handshake_done
        and target.load.floor_version < version
        and target.floor_sent < version
    ):
        target.floor_sent = version
        target.outbox.append(FloorUpdate(version=version, document=dispatcher.floor_text))


def send_floor_to_peer(dispatcher: Dispatcher, peer: Peer) -> None:
    """Queues the floor document for an entry with an older version, each version once a session."""
    version = dispatcher.floor.version
    if peer.connected and peer.floor_version < version and peer.floor_sent < version:
        peer.floor_sent = version
        peer.outbox.append(FloorUpdate(version=version, document=dispatcher.floor_text))
