"""Measures what claims cost: frames and bytes between entries, and processor time, a request.

Entries exchange their encoded frames in one process, without sockets. Each request is claimed,
granted and released at once, so that no frame carries several claims: the dearest case.
"""

import argparse
import time

from comfreysill.placement.effects import SendClaimReplies, SendClaims
from comfreysill.placement.peer_links import (
    begin_peer_session,
    collect_claims,
    receive_replies,
    update_peers,
)
from comfreysill.placement.registrar import receive_claims
from comfreysill.placement.requests import disconnect_caller, submit_request
from comfreysill.placement.state import EntryState
from comfreysill.request.types import CallerWait, Specification, Step
from comfreysill.wire import exchange_pb2 as pb
from comfreysill.wire.claims import decode_claims, decode_replies, encode_claims, encode_replies

WAIT_SECONDS = 1.5
TASKS = 4


class Exchange:
    """Entries that claim requests at each other.

    Attributes:
        states: States of the entries, by address.
        addresses: Addresses of the entries, by name.
        now: Boot-clock time in seconds of all entries.
        frames: Number of frames exchanged.
        frame_bytes: Number of bytes in them.
    """

    __slots__ = ("states", "addresses", "now", "frames", "frame_bytes")

    def __init__(self, *, entries: int) -> None:
        self.states: dict[str, EntryState] = {}
        self.addresses: dict[str, str] = {}
        self.now = 100.0
        self.frames = 0
        self.frame_bytes = 0
        known = [f"e{number}:1" for number in range(entries)]
        for number, address in enumerate(known):
            state = EntryState(name=f"e{number}@1", zone="z", unix_offset=0.0)
            state.entries = [address, *(other for other in known if other != address)]
            self.states[address] = state
            self.addresses[state.name] = address


def link_entries(exchange: Exchange) -> None:
    """Opens the sessions of all entries with their registrars."""
    for state in exchange.states.values():
        update_peers(state, exchange.now)
        for address in list(state.peers):
            begin_peer_session(state, address, exchange.now)
    deliver_frames(exchange)


def deliver_frames(exchange: Exchange) -> None:
    """Delivers frames until none is left."""
    while any(_deliver_effects(exchange, state) for state in exchange.states.values()):
        continue


def _deliver_effects(exchange: Exchange, state: EntryState) -> bool:
    """Delivers the frames of one entry; returns whether there were any."""
    collect_claims(state, exchange.now)
    effects, state.effects = state.effects, []
    is_any = False
    for effect in effects:
        if isinstance(effect, SendClaims):
            data = encode_claims(effect.frame).SerializeToString()
            frame = decode_claims(pb.Claims.FromString(data))
            receive_claims(exchange.states[effect.address], frame, exchange.now)
        elif isinstance(effect, SendClaimReplies):
            data = encode_replies(effect.frame).SerializeToString()
            replies = decode_replies(pb.ClaimReplies.FromString(data))
            claimant = exchange.states[exchange.addresses[effect.entry]]
            receive_replies(claimant, exchange.addresses[state.name], replies, exchange.now)
        else:
            continue
        is_any = True
        exchange.frames += 1
        exchange.frame_bytes += len(data)
    return is_any


def play_request(exchange: Exchange, number: int) -> None:
    """Lets an entry claim a request, and release it again."""
    state = list(exchange.states.values())[number % len(exchange.states)]
    step = Step(count=TASKS, cpu=1000, memory_mb=10, estimate=1.0)
    specification = Specification(
        request_id=f"{number:016x}",
        route="r",
        service="s",
        payload="",
        steps=(step,),
        priority=0,
        max_attempts=1,
        stretch=1.0,
        slack_seconds=1.0,
    )
    now = exchange.now
    wait = CallerWait(sent_after=now, read_at=now, ends_at=now + WAIT_SECONDS)
    submit_request(state, number, specification, now, wait)
    deliver_frames(exchange)
    disconnect_caller(state, number, now)
    deliver_frames(exchange)


def main() -> None:
    """Measures each number of entries and prints a table."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[1, 3, 5, 8, 35])
    parser.add_argument("--requests", type=int, default=1000)
    options = parser.parse_args()
    print("entries frames/request bytes/request microseconds/request")
    for entries in options.entries:
        exchange = Exchange(entries=entries)
        link_entries(exchange)
        exchange.frames = exchange.frame_bytes = 0
        started_at = time.process_time()
        for number in range(options.requests):
            play_request(exchange, number)
        seconds = time.process_time() - started_at
        print(
            f"{entries:7} {exchange.frames / options.requests:14.2f} "
            f"{exchange.frame_bytes / options.requests:13.0f} "
            f"{1e6 * seconds / options.requests:20.0f}"
        )


if __name__ == "__main__":
    main()
