"""Plays loads above and below capacity on a model of a deployment, and prints who is served.

Real decisions of entries and agents on a virtual clock; no network. For each scenario and way of
choosing: the share of requests answered within their objective, of each route, of the largest tenth
of each and the fifth below it, of the client that is served worst, and how refusals came.
"""

import argparse
import math
import random
import zlib

from comfreysill.placement.admission import Admission
from comfreysill.request.types import Specification, Step, Verdict
from tests.platform_world import CPU_CAPACITY, HOP_SECONDS, World

STRETCH, SLACK_SECONDS = 1.6, 0.06
# Route, mean tasks, mean seconds of a task, share of the requests, priority.
KINDS = (("short", 8, 0.1, 0.24, 0), ("long", 4, 1.5, 0.045, 2), ("middle", 2, 0.34, 0.715, 1))
MEAN_TASK_CPU = 775
ENTRIES, AGENTS, CLIENTS = 4, 8, 13
LARGER_TARGETS, SLOW_SPEEDS, SPEEDS = 3, (0.55, 0.8), (0.9, 1.2)
WARM_UP_SECONDS = 2.0
# The longest wait of a caller without an answer, after the last was sent.
DRAIN_SECONDS = 6.0
# For callers who return: how often.
MAX_RETURNS = 3
LATE_FACTOR = 3.0
# Early refusals come within this part of the objective.
EARLY_PART = 0.25


class Scenario:
    """A load: its mean as a part of the capacity, and what is uneven in it.

    Attributes:
        name: Its name.
        load: Mean work asked for as a part of what the targets can do.
        burst: Route that is asked for three times as often in the middle, empty if none.
        wave: Amplitude of the load's wave as a part of the mean.
        lost: Part of the targets that are lost in the middle.
        returns: Whether callers that were turned away come back when told to.
    """

    __slots__ = ("name", "load", "burst", "wave", "lost", "returns")

    def __init__(
        self,
        *,
        name: str,
        load: float,
        burst: str = "",
        wave: float = 0.3,
        lost: float = 0.0,
        returns: bool = False,
    ) -> None:
        self.name = name
        self.load = load
        self.burst = burst
        self.wave = wave
        self.lost = lost
        self.returns = returns


SCENARIOS = (
    Scenario(name="0.5", load=0.5),
    Scenario(name="0.8", load=0.8),
    Scenario(name="1.0", load=1.0),
    Scenario(name="1.25", load=1.25),
    Scenario(name="1.5", load=1.5),
    Scenario(name="2.0", load=2.0),
    Scenario(name="0.8, burst of short", load=0.8, burst="short"),
    Scenario(name="0.8, burst of long", load=0.8, burst="long"),
    Scenario(name="0.75, a third lost", load=0.75, lost=0.34),
    Scenario(name="1.25, callers return", load=1.25, returns=True),
)


class Sent:
    """A request as its caller sees it.

    Attributes:
        route: Its route.
        client: Number of its client.
        sent_at: When it was sent first.
        objective: Seconds in which it has to be answered.
        work: Seconds of work of all its tasks.
        tries: How often it was sent.
        refused_at: When it was refused last, None before.
        ended_at: When its result came, None before.
    """

    __slots__ = (
        "route",
        "client",
        "sent_at",
        "objective",
        "work",
        "tries",
        "refused_at",
        "ended_at",
    )

    def __init__(
        self, *, route: str, client: int, sent_at: float, objective: float, work: float
    ) -> None:
        self.route = route
        self.client = client
        self.sent_at = sent_at
        self.objective = objective
        self.work = work
        self.tries = 1
        self.refused_at: float | None = None
        self.ended_at: float | None = None


class Play:
    """One play of a scenario. `first_come` serves requests in the order of their arrival."""

    def __init__(self, scenario, seed, seconds, refuses_early=False, share=0.0, first_come=False):
        self.scenario = scenario
        self.seconds = seconds
        self.first_come = first_come
        self.world = World(seed, entries=ENTRIES, agents=AGENTS)
        self.random = random.Random(seed)
        # Draws that don't depend on what the system does.
        self.load_random = random.Random(seed)
        self.sent: dict[str, Sent] = {}
        self.arrivals: dict[tuple[str, str], float] = {}
        self.world.send_back = self.send_back
        self.handle_verdict = self.world.handle_verdict
        self.world.handle_verdict = self.record_verdict
        for process in self.world.entries.values():
            process.state.admission = Admission(refuses_early=refuses_early, least_share=share)
        capacity = self.prepare_targets()
        self.world.run(1.0)
        work = sum(tasks * seconds * part for _, tasks, seconds, part, _ in KINDS)
        self.rate = scenario.load * capacity / work

    def prepare_targets(self):
        """Sets sizes and speeds; returns how many tasks of speed 1 they can run at once."""
        capacity = 0.0
        for number, name in enumerate(sorted(self.world.agents)):
            speeds = SLOW_SPEEDS if number % 4 == 0 else SPEEDS
            runner = self.world.runners[name]
            runner.speed = self.random.uniform(*speeds)
            if number % LARGER_TARGETS == 0:
                runner.cpu = CPU_CAPACITY * 3 // 2
            capacity += runner.cpu // MEAN_TASK_CPU * runner.speed
        return capacity

    def run(self):
        """Plays the scenario to its end; returns the requests after the warm-up."""
        started_at = self.world.now
        is_lost = False
        while self.world.now < started_at + self.seconds:
            part = (self.world.now - started_at) / self.seconds
            if part > 0.4 and self.scenario.lost and not is_lost:
                is_lost = True
                self.lose_targets()
            wave = 1 + self.scenario.wave * math.sin(2 * math.pi * self.world.now / 7.0)
            weights = [kind[3] for kind in KINDS]
            if self.scenario.burst and 0.4 < part < 0.7:
                weights = [
                    weight * (3 if kind[0] == self.scenario.burst else 1)
                    for kind, weight in zip(KINDS, weights, strict=True)
                ]
            self.world.run(self.load_random.expovariate(self.rate * wave * sum(weights)))
            self.send(self.load_random.choices(KINDS, weights)[0])
        self.world.run(DRAIN_SECONDS)
        return [sent for sent in self.sent.values() if sent.sent_at > started_at + WARM_UP_SECONDS]

    def lose_targets(self):
        """Stops some targets and their agents for good."""
        for name in sorted(self.world.agents)[: round(self.scenario.lost * AGENTS)]:
            self.world.kill_agent(name, down_seconds=60.0, silent=True)
            self.world.runners[name].alive = False

    def send(self, kind):
        """Sends a request of one of KINDS."""
        route, mean_tasks, mean_seconds, _, priority = kind
        draw = self.load_random
        tasks = min(4 * mean_tasks, max(1, round(draw.gauss(mean_tasks, 0.4 * mean_tasks))))
        seconds = mean_seconds * draw.lognormvariate(-0.08, 0.4)
        estimate = seconds * draw.uniform(0.6, 1.4)
        cpu = min(1200, max(400, round(draw.gauss(MEAN_TASK_CPU, 0.2 * MEAN_TASK_CPU))))
        client = draw.randrange(CLIENTS)
        request_id = f"q{len(self.sent)}"
        self.sent[request_id] = Sent(
            route=route,
            client=client,
            sent_at=self.world.now,
            objective=STRETCH * seconds + SLACK_SECONDS,
            work=tasks * seconds,
        )
        self.world.requests[request_id] = Specification(
            request_id=request_id,
            route=route,
            service="s",
            payload=str(seconds),
            steps=(Step(count=tasks, cpu=cpu, memory_mb=10, estimate=estimate),),
            priority=0 if self.first_come else priority,
            max_attempts=2,
            stretch=0.0 if self.first_come else STRETCH,
            slack_seconds=2.0 if self.first_come else SLACK_SECONDS,
        )
        self.world.verdicts[request_id] = []
        self.world.send_request(request_id, self.choose_entry(client))

    def choose_entry(self, client):
        """Each client has a channel to one entry, chosen by a hash."""
        return f"e{zlib.crc32(f'channel {client}'.encode()) % ENTRIES}"

    def send_back(self, process, entry, frame):
        """Delivers a frame of an agent, each after those before it; no entry is always first."""
        world, link = self.world, (process.name, entry)
        arrives_at = world.now + HOP_SECONDS * self.random.uniform(0.5, 3.0)
        arrives_at = max(arrives_at, self.arrivals.get(link, 0.0) + 1e-6)
        self.arrivals[link] = arrives_at
        lifetime = world.entries[entry].lifetime
        world.schedule(arrives_at - world.now, world.deliver_back, entry, lifetime, frame)

    def record_verdict(self, entry, effect):
        """Records the answer to a caller, which may come back after a refusal."""
        request_id = self.world.callers.get(effect.caller, (None,))[0]
        self.handle_verdict(entry, effect)
        sent = self.sent.get(request_id)
        if sent is None:
            return
        if effect.verdict == Verdict.COMPLETED:
            sent.ended_at = self.world.now
        elif effect.verdict == Verdict.NOT_RUN:
            sent.refused_at = self.world.now
            if self.scenario.returns and sent.tries <= MAX_RETURNS:
                sent.tries += 1
                delay = math.ceil(effect.retry_at - self.world.now)
                other = f"e{self.random.randrange(ENTRIES)}"
                self.world.schedule(delay, self.world.send_request, request_id, other)

    def count(self, name):
        """Returns the sum of a counter over all entries."""
        states = [process.state for process in self.world.entries.values()]
        return sum(state.counters.get(name, 0) for state in states)


def is_on_time(sent: Sent) -> bool:
    """Returns whether a request was answered within its objective."""
    return sent.ended_at is not None and sent.ended_at - sent.sent_at <= sent.objective


def measure_share(requests: list[Sent]) -> float:
    """Returns the share of requests that were on time."""
    return sum(map(is_on_time, requests)) / max(1, len(requests))


def measure_worst_client(requests: list[Sent]) -> float:
    """Returns the share on time of the client that is served worst."""
    return min(
        measure_share([sent for sent in requests if sent.client == client])
        for client in {sent.client for sent in requests}
    )


def select_sizes(requests: list[Sent], first: float, last: float) -> list[Sent]:
    """Returns the requests of each route between two parts of its order by work."""
    selected = []
    for route in {sent.route for sent in requests}:
        ordered = sorted(
            (sent for sent in requests if sent.route == route), key=lambda sent: sent.work
        )
        selected += ordered[int(first * len(ordered)) : int(last * len(ordered))]
    return selected


def is_useful(sent: Sent) -> bool:
    """Returns whether a request was answered within LATE_FACTOR of its objective."""
    if sent.ended_at is None:
        return False
    return sent.ended_at - sent.sent_at <= LATE_FACTOR * sent.objective


def measure_value(requests: list[Sent]) -> float:
    """Returns the work answered on time, and a fifth of what was late, as a part of all work."""
    total = sum(sent.work for sent in requests)
    useful = sum(
        sent.work * (1.0 if is_on_time(sent) else 0.2) for sent in requests if is_useful(sent)
    )
    return useful / max(1e-9, total)


def describe_sent(requests: list[Sent]) -> list[str]:
    """Returns the cells of a row of the table."""
    by_route = [
        measure_share([sent for sent in requests if sent.route == kind[0]]) for kind in KINDS
    ]
    refused = [sent for sent in requests if sent.ended_at is None and sent.refused_at is not None]
    early = [
        sent
        for sent in refused
        if sent.tries > 1 or sent.refused_at - sent.sent_at <= EARLY_PART * sent.objective
    ]
    late = [sent for sent in requests if sent.ended_at is not None and not is_on_time(sent)]
    shares = [
        measure_share(requests),
        measure_value(requests),
        *by_route,
        measure_share(select_sizes(requests, 0.9, 1.0)),
        measure_share(select_sizes(requests, 0.7, 0.9)),
        measure_worst_client(requests),
        len(late) / len(requests),
        len(refused) / len(requests),
        len(early) / max(1, len(refused)),
        sum(sent.tries > 2 for sent in requests) / len(requests),
    ]
    return [f"{share:.2f}" for share in shares]


WAYS = (
    ("first come", {"first_come": True}),
    ("order without admission", {}),
    ("shares", {"share": 0.5}),
    ("shares, early refusals", {"share": 0.5, "refuses_early": True}),
)
HEADINGS = (
    "load, way | all | work | short | long | middle | largest tenth | fifth below | worst client "
    "| late | refused | of these early | turned away twice"
)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--scenario", default="", help="only scenarios whose name contains this")
    arguments = parser.parse_args()
    print(f"| {HEADINGS} |")
    print("|" + " --- |" * (HEADINGS.count("|") + 1))
    for scenario in SCENARIOS:
        if arguments.scenario not in scenario.name:
            continue
        for way, options in WAYS:
            requests = []
            for seed in range(1, arguments.seeds + 1):
                requests += Play(scenario, seed, arguments.seconds, **options).run()
            cells = " | ".join(describe_sent(requests))
            print(f"| {scenario.name}: {way} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
