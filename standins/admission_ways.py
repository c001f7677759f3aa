"""Weighs ways of choosing who is served, on a small model: entries, targets, and perfect knowledge.

Entries see the free room of their targets at once, and tasks take no time to reach them, so that
only the choice differs. `standins.admission` plays the real decisions.
"""

import argparse
import heapq
import math
import random
import time

from standins.admission import (
    HEADINGS,
    KINDS,
    SLACK_SECONDS,
    STRETCH,
    Sent,
    describe_sent,
)

TASK_CORES = 3.3
TARGETS, ENTRIES, LINKS, CLIENTS = 16, 4, 10, 13
TARGET_CORES = 32.0
TICK_SECONDS = 0.05
DRAIN_SECONDS = 12.0
RESERVED_SHARE = 0.2
MAX_OBJECTIVE_FACTOR = 3.0
# CoDel: sojourn, as a part of the objective, that may be exceeded for so long.
SOJOURN_PART, SOJOURN_SECONDS = 0.2, 0.1
SHARE_SECONDS, RATE_SECONDS = 5.0, 1.0
LEAST_SHARE = 0.5
WAIT_FACTOR = 0.5
CALM_PART = 0.3


class Target:
    """A target of the model."""

    __slots__ = ("cores", "free", "speed")

    def __init__(self, *, cores: float, speed: float) -> None:
        self.cores = cores
        self.free = cores
        self.speed = speed


class Job:
    """A request in the model."""

    __slots__ = (
        "sent",
        "tasks",
        "running",
        "estimate",
        "seconds",
        "priority",
        "due",
        "begun",
        "open",
    )

    def __init__(self, *, sent: Sent, tasks: int, seconds: float, estimate: float, priority: int):
        self.sent = sent
        self.tasks = tasks
        self.running = 0
        self.seconds = seconds
        self.estimate = estimate
        self.priority = priority
        self.due = sent.sent_at + STRETCH * estimate + SLACK_SECONDS
        self.begun = False
        self.open = True


class Entry:
    """An entry of the model: its queue, its targets, and decayed sums by name and route."""

    __slots__ = ("queue", "targets", "sums", "above_since", "waited")

    def __init__(self, *, targets: list[Target]) -> None:
        self.queue: list[Job] = []
        self.targets = targets
        self.sums: dict[tuple[str, str], tuple[float, float]] = {}
        self.above_since: float | None = None
        self.waited = False


def read_sum(entry: Entry, name: str, route: str, seconds: float, now: float) -> float:
    """Returns a decayed sum of an entry."""
    amount, at = entry.sums.get((name, route), (0.0, now))
    return amount * math.exp((at - now) / seconds)


def add_sum(entry: Entry, name: str, route: str, seconds: float, now: float, amount: float) -> None:
    """Adds to a decayed sum of an entry."""
    entry.sums[name, route] = (read_sum(entry, name, route, seconds, now) + amount, now)


class Way:
    """A way of choosing, made of the parts that are switched on."""

    __slots__ = ("name", "in_order_of_arrival", "sojourn", "share", "expects")

    def __init__(
        self,
        *,
        name: str,
        in_order_of_arrival: bool = False,
        sojourn: bool = False,
        share: float = 0.0,
        expects: bool = False,
    ) -> None:
        self.name = name
        self.in_order_of_arrival = in_order_of_arrival
        self.sojourn = sojourn
        self.share = share
        self.expects = expects


WAYS = (
    Way(name="first come first served", in_order_of_arrival=True),
    Way(name="on time, priority, due time"),
    Way(name="the same, sojourn time (CoDel)", sojourn=True),
    Way(name="the same, shares", share=LEAST_SHARE),
    Way(name="the same, expected end", expects=True),
    Way(name="the same, shares and sojourn time", share=LEAST_SHARE, sojourn=True),
    Way(name="the same, all three", share=LEAST_SHARE, sojourn=True, expects=True),
)


class Model:
    """One play of the model."""

    def __init__(
        self, *, way: Way, seed: int, load: float, seconds: float, burst: str = ""
    ) -> None:
        self.way = way
        self.burst = burst
        self.seconds = seconds
        self.now = 0.0
        self.events: list = []
        self.event_count = 0
        self.sent: list[Sent] = []
        self.load_random = random.Random(seed)
        self.random = random.Random(seed + 1)
        targets = [self.build_target(number) for number in range(TARGETS)]
        self.entries = [Entry(targets=self.random.sample(targets, LINKS)) for _ in range(ENTRIES)]
        work = sum(tasks * mean * part for _, tasks, mean, part, _ in KINDS) * TASK_CORES
        self.rate = load * sum(target.cores * target.speed for target in targets) / work

    def build_target(self, number: int) -> Target:
        """Every fourth target is slow, every third is larger."""
        speeds = (0.55, 0.8) if number % 4 == 0 else (0.9, 1.2)
        cores = TARGET_CORES * (1.5 if number % 3 == 0 else 1.0)
        return Target(cores=cores, speed=self.random.uniform(*speeds))

    def schedule(self, at: float, action, *arguments) -> None:
        """Adds an event."""
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, action, arguments))

    def run(self) -> list[Sent]:
        """Plays to the end; returns the requests after the first two seconds."""
        self.schedule(0.0, self.arrive)
        self.schedule(TICK_SECONDS, self.tick)
        while self.events and self.now < self.seconds + DRAIN_SECONDS:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return [sent for sent in self.sent if sent.sent_at > 2.0]

    def arrive(self) -> None:
        """Lets a request arrive, and plans the next."""
        if self.now > self.seconds:
            return
        draw = self.load_random
        weights = [kind[3] for kind in KINDS]
        if self.burst and 0.4 < self.now / self.seconds < 0.7:
            weights = [
                weight * (3 if kind[0] == self.burst else 1)
                for weight, kind in zip(weights, KINDS, strict=True)
            ]
        wave = 1 + 0.3 * math.sin(2 * math.pi * self.now / 7.0)
        self.schedule(self.now + draw.expovariate(self.rate * wave * sum(weights)), self.arrive)
        route, mean_tasks, mean_seconds, _, priority = draw.choices(KINDS, weights)[0]
        tasks = min(4 * mean_tasks, max(1, round(draw.gauss(mean_tasks, 0.4 * mean_tasks))))
        seconds = mean_seconds * draw.lognormvariate(-0.08, 0.4)
        client = draw.randrange(CLIENTS)
        sent = Sent(
            route=route,
            client=client,
            sent_at=self.now,
            objective=STRETCH * seconds + SLACK_SECONDS,
            work=tasks * seconds,
        )
        self.sent.append(sent)
        estimate = seconds * draw.uniform(0.6, 1.4)
        job = Job(sent=sent, tasks=tasks, seconds=seconds, estimate=estimate, priority=priority)
        entry = self.entries[client * client % ENTRIES]
        self.account(entry)
        add_sum(entry, "asked", route, SHARE_SECONDS, self.now, tasks * estimate)
        if self.is_refused_at_arrival(entry, job):
            self.refuse(job)
        else:
            entry.queue.append(job)
            self.place(entry)

    def refuse(self, job: Job) -> None:
        """Refuses a request."""
        job.open = False
        job.sent.refused_at = self.now

    def account(self, entry: Entry) -> None:
        """Adds up the time in which requests wait."""
        last = entry.sums.get(("accounted", ""), (0.0, self.now))[1]
        if entry.waited:
            add_sum(entry, "waiting", "", RATE_SECONDS, self.now, self.now - last)
        entry.sums["accounted", ""] = (0.0, self.now)
        entry.waited = any(job.open and job.tasks for job in entry.queue)

    def is_refused_at_arrival(self, entry: Entry, job: Job) -> bool:
        """Returns whether a new request is expected to be late."""
        waiting = read_sum(entry, "waiting", "", RATE_SECONDS, self.now)
        if not self.way.expects or waiting < CALM_PART * RATE_SECONDS:
            return False
        route = job.sent.route
        rate = read_sum(entry, "placed", route, RATE_SECONDS, self.now) / waiting
        queued = sum(other.tasks for other in entry.queue if other.sent.route == route)
        fastest = max(target.speed for target in entry.targets)
        if not rate:
            return False
        wait = WAIT_FACTOR * (queued + job.tasks) / rate
        return self.now + wait + job.estimate / fastest > job.due

    def rank(self, entry: Entry, job: Job, short: set[str]) -> tuple:
        """Returns the sort key of a request."""
        if self.way.in_order_of_arrival:
            return (0, 0, job.sent.sent_at)
        if job.begun:
            return (0, -1, job.due)
        priority = 0 if job.sent.route in short else job.priority
        return (self.is_late(job), priority, job.due)

    def is_late(self, job: Job) -> bool:
        """Returns whether a request that has not begun would be late by its declared time."""
        return not job.begun and self.now + job.estimate > job.due

    def find_short(self, entry: Entry) -> set[str]:
        """Returns the routes that get less than their least share."""
        if not self.way.share:
            return set()
        routes = [kind[0] for kind in KINDS]
        asked = {r: read_sum(entry, "asked", r, SHARE_SECONDS, self.now) for r in routes}
        got = {r: read_sum(entry, "got", r, SHARE_SECONDS, self.now) for r in routes}
        mean = sum(got.values()) / max(1e-9, sum(asked.values()))
        return {r for r in routes if got[r] < self.way.share * mean * asked[r]}

    def tick(self) -> None:
        """Refuses what is of no use any more."""
        if self.now < self.seconds + DRAIN_SECONDS - 1.0:
            self.schedule(self.now + TICK_SECONDS, self.tick)
        for entry in self.entries:
            self.account(entry)
            self.drop(entry)
            self.place(entry)

    def drop(self, entry: Entry) -> None:
        """Refuses waiting requests as the way has it."""
        waiting = [job for job in entry.queue if job.open and not job.begun]
        fastest = max(target.speed for target in entry.targets)
        contended = read_sum(entry, "waiting", "", RATE_SECONDS, self.now)
        for job in waiting:
            objective = job.due - job.sent.sent_at
            latest = job.sent.sent_at + MAX_OBJECTIVE_FACTOR * objective
            is_shed = self.way.expects and contended > 0.5 * RATE_SECONDS and self.is_late(job)
            if is_shed or self.now + job.estimate / fastest > latest:
                self.refuse(job)
        if self.way.sojourn:
            self.drop_by_sojourn(entry, [job for job in waiting if job.open])

    def drop_by_sojourn(self, entry: Entry, waiting: list[Job]) -> None:
        """Refuses what has waited for too long, once some have for a while."""
        above = [
            job
            for job in waiting
            if self.now - job.sent.sent_at > SOJOURN_PART * (job.due - job.sent.sent_at)
        ]
        if not above:
            entry.above_since = None
            return
        if entry.above_since is None:
            entry.above_since = self.now
        if self.now - entry.above_since > SOJOURN_SECONDS:
            for job in above:
                self.refuse(job)

    def place(self, entry: Entry) -> None:
        """Places what has room, in the order of the way."""
        entry.queue = [job for job in entry.queue if job.open and job.tasks]
        free = [target for target in entry.targets if target.free >= TASK_CORES]
        if not entry.queue or not free:
            return
        short = self.find_short(entry)
        entry.queue.sort(key=lambda job: self.rank(entry, job, short))
        cores = sum(target.cores for target in entry.targets)
        for job in entry.queue:
            spare = sum(target.free for target in entry.targets)
            is_spare = spare > RESERVED_SHARE * cores or self.way.in_order_of_arrival
            if self.is_late(job) and not is_spare:
                continue
            self.place_job(entry, job, free)
            free = [target for target in free if target.free >= TASK_CORES]
            if not free:
                break
        entry.queue = [job for job in entry.queue if job.tasks]

    def place_job(self, entry: Entry, job: Job, free: list[Target]) -> None:
        """Places tasks of a request on targets that are fast enough, the fastest first."""
        remaining = job.due - self.now
        free = sorted(
            free, key=lambda target: (round(math.log(target.speed, 1.3)), target.free), reverse=True
        )
        fastest = max(target.speed for target in entry.targets)
        is_possible = job.estimate / fastest <= remaining
        for target in free:
            if is_possible and job.estimate / target.speed > remaining:
                continue
            count = min(job.tasks, int(target.free / TASK_CORES))
            target.free -= count * TASK_CORES
            job.tasks -= count
            job.running += count
            job.begun = job.begun or count > 0
            route = job.sent.route
            add_sum(entry, "got", route, SHARE_SECONDS, self.now, count * job.estimate)
            if entry.waited:
                add_sum(entry, "placed", route, RATE_SECONDS, self.now, count)
            for _ in range(count):
                self.schedule(self.now + job.seconds / target.speed, self.finish, job, target)
            if not job.tasks:
                return

    def finish(self, job: Job, target: Target) -> None:
        """Ends a task; the entry with the most urgent request gets the room first."""
        target.free += TASK_CORES
        job.running -= 1
        if not job.running and not job.tasks:
            job.sent.ended_at = self.now
        waiting = [entry for entry in self.entries if entry.queue and target in entry.targets]
        for entry in sorted(
            waiting,
            key=lambda entry: min(self.rank(entry, other, set())[:2] for other in entry.queue),
        ):
            self.account(entry)
            self.place(entry)


LOADS = (("0.8", 0.8, ""), ("1.0", 1.0, ""), ("1.25", 1.25, ""), ("1.6", 1.6, ""))
BURSTS = (("0.8, burst of short", 0.8, "short"), ("1.25, burst of short", 1.25, "short"))


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=14.0)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print(f"| {HEADINGS} | decisions, ms a request |")
    print("|" + " --- |" * (HEADINGS.count("|") + 2))
    for name, load, burst in LOADS + BURSTS:
        for way in WAYS:
            requests: list[Sent] = []
            started_at = time.process_time()
            for seed in range(1, arguments.seeds + 1):
                seconds = arguments.seconds
                requests += Model(way=way, seed=seed, load=load, seconds=seconds, burst=burst).run()
            cost = 1000 * (time.process_time() - started_at) / len(requests)
            cells = " | ".join(describe_sent(requests))
            print(f"| {name}: {way.name} | {cells} | {cost:.2f} |", flush=True)


if __name__ == "__main__":
    main()
