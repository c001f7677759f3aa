"""Random plays of zones that are closed and taken back, calm and beside faults.

`python -m tests.closing_plays FIRST END [calm]` prints the plays with violations, the time from the
row that closes a zone to the last start sent to its runners, and the share of requests that were
on time in the 10 s after it.
"""

import random
import sys

from comfreysill.request.types import Verdict
from tests.platform_world import World

CLOSED_SECONDS = 10.0
SUBMIT_SECONDS = 0.02
TASKS = 1
TASK_SECONDS = 0.4
OBJECTIVE_SECONDS = 1.6 * TASK_SECONDS + 0.06
KINDS = (
    "kill_entry",
    "kill_agent",
    "freeze_entry",
    "freeze_agent",
    "cut",
    "store",
    "lossy",
    "slow",
)


class Play:
    """One play: its world, when requests were sent, and when they got their verdicts."""

    def __init__(self, seed):
        self.choices = random.Random(seed)
        entries, agents = self.choices.choice([2, 3, 5]), self.choices.choice([6, 9])
        self.world = World(seed, entries=entries, agents=agents, zones=3)
        self.sent_at = {}
        self.on_time = set()
        handle_verdict = self.world.handle_verdict

        def note_verdict(entry, effect):
            request_id, _ = self.world.callers.get(effect.caller, ("", ""))
            handle_verdict(entry, effect)
            age = self.world.now - self.sent_at.get(request_id, 0.0)
            if effect.verdict == Verdict.COMPLETED and age <= OBJECTIVE_SECONDS:
                self.on_time.add(request_id)

        self.world.handle_verdict = note_verdict

    def submit(self):
        world = self.world
        request_id = f"r{len(world.requests)}"
        self.sent_at[request_id] = world.now
        world.submit(request_id, world.choose_entry(), tasks=TASKS, seconds=TASK_SECONDS, wait=3.0)

    def disturb(self):
        world, choices = self.world, self.choices
        entry, agent = world.choose_entry(), choices.choice(sorted(world.agents))
        kind, seconds = choices.choice(KINDS), choices.random() * 2
        if kind == "kill_entry":
            world.kill_entry(entry, silent=choices.random() < 0.5)
        elif kind == "kill_agent":
            world.kill_agent(agent, silent=choices.random() < 0.5)
        elif kind == "freeze_entry":
            world.freeze(world.entries[entry], seconds)
        elif kind == "freeze_agent":
            world.freeze(world.agents[agent], seconds)
        elif kind == "cut":
            world.cut(entry, agent, seconds)
        elif kind == "store":
            world.take_store_away(entry, 2 * seconds)
        elif kind == "lossy":
            world.call_loss_probability = choices.choice([0.0, 0.05])
        else:
            world.set_speed(agent, choices.choice([0.3, 1.0]))


def play(seed, is_calm):
    """Plays one closing; returns the play, the last start's time and the share on time."""
    result = Play(seed)
    world, choices = result.world, result.choices
    world.run(3.0)
    close_at = world.now + 1.0 + choices.random()
    closed = [f"z{number}" for number in range(choices.choice([1, 1, 1, 2]))]
    open_at = close_at + CLOSED_SECONDS
    for zone in closed:
        world.schedule(close_at - world.now, world.close_zone, zone)
        world.schedule(open_at - world.now, world.open_zone, zone)
    while world.now < open_at + 3.0:
        result.submit()
        if not is_calm and choices.random() < 0.015:
            result.disturb()
        world.run(SUBMIT_SECONDS)
    world.call_loss_probability = 0.0
    world.run(10.0)
    after = [key for key, at in result.sent_at.items() if close_at <= at < open_at]
    share = sum(key in result.on_time for key in after) / len(after)
    return world, max(world.late_zone_starts, default=0.0), share


def main(first, end, is_calm):
    broken, last_starts, shares = 0, [], []
    for seed in range(first, end):
        world, last_start, share = play(seed, is_calm)
        last_starts.append(last_start)
        shares.append(share)
        if world.violations:
            broken += 1
            print(seed, len(world.entries), world.violations[:2], flush=True)
    last_starts.sort()
    count = len(last_starts)
    ranks = {"p50": count // 2, "p95": int(count * 0.95), "worst": count - 1}
    print(f"{broken} of {count} plays broken")
    print("seconds to the last start:", {k: round(last_starts[n], 3) for k, n in ranks.items()})
    print(f"on time: mean {sum(shares) / count:.3f}, lowest {min(shares):.3f}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), "calm" in sys.argv[3:])
