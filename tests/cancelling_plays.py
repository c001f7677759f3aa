"""Random plays of cancellings beside attempts that are sent again, kills, freezes and cuts.

`python -m tests.cancelling_plays FIRST END` prints the plays with violations, or with callers that
were not answered in the end. It is no test: some of its plays fail for causes in KNOWN-RED.txt.
"""

import random
import sys

from tests.platform_world import NEVER, World

JOBS = 20


def play(seed):
    """Plays JOBS jobs at 1, 2, 3 or 5 entries; returns the world."""
    choices = random.Random(seed)
    names = [f"e{number}" for number in range(choices.choice([1, 2, 3, 5]))]
    world = World(seed, entries=len(names), agents=4)
    world.draw_end_delay = lambda: choices.choice([0.001, 0.5, 2.0, NEVER])
    world.run(choices.choice([0.05, 0.3, 2.0]))
    for number in range(JOBS):
        request_id = f"r{number}"
        entry = choices.choice(names)
        wait = choices.choice([NEVER, 1.5, 3.0, 6.0])
        world.submit(request_id, entry, tasks=2, seconds=1.0, cpu=500, steps=3, wait=wait)
        for _ in range(choices.choice([1, 1, 2])):
            at = choices.random() * 4.0
            world.schedule(at, world.cancel, request_id, choices.choice(names))
        if choices.random() < 0.3:
            at = choices.random() * 3
            world.schedule(at, world.send_request, request_id, choices.choice(names))
        disturb(world, choices, names)
        world.run(choices.random() * 0.5)
    world.run(25.0)
    return world


def disturb(world, choices, names):
    entry, other, kind = choices.choice(names), choices.choice(names), choices.randrange(8)
    if kind == 0:
        world.kill_entry(entry, silent=choices.random() < 0.5)
    elif kind == 1:
        world.freeze(world.entries[entry], choices.random() * 2)
    elif kind == 2 and entry != other:
        world.cut(entry, other, choices.random() * 6)
    elif kind == 3:
        world.kill_agent(choices.choice(sorted(world.agents)))
    elif kind == 4 and entry != other:
        world.cut(entry, other, 3)
        world.cut(other, entry, 3)


def main(first, end):
    broken = 0
    for seed in range(first, end):
        world = play(seed)
        if world.violations or world.cancellers:
            broken += 1
            print(seed, len(world.entries), world.violations[:2], world.cancellers, flush=True)
    print(f"{broken} of {end - first} plays broken")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
