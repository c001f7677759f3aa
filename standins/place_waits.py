"""Compares ways to wait for a place near the data, on loads without a network.

For each load: requests on time of those that were sent, without any wait, with a wait without an
end, as the estimates alone say, and as decided; and the core-seconds a request.
"""

import argparse

from comfreysill.waits.decision import NO_WAIT, Decision, Prospect, choose_wait
from standins.rack_loads import Scenario, count_on_time, get_counter, play

ENDLESS_SECONDS = 3600.0
LOADS = (0.4, 0.7, 0.95, 1.2)
FACTORS = (1.5, 3.0)
EQUAL = ((1.0, 1.0),) * 4
SLOW_HOT = ((0.55, 0.55), (1.2, 1.2), (1.2, 1.2), (1.2, 1.2))
FAST_HOT = ((1.2, 1.2), (0.55, 0.55), (1.2, 1.2), (0.55, 1.2))


def never_wait(prospect: Prospect) -> Decision:
    """Starts at once wherever there is room."""
    return NO_WAIT


def always_wait(prospect: Prospect) -> Decision:
    """Waits for a near place without an end."""
    return Decision(count=len(prospect.near_waits), max_seconds=ENDLESS_SECONDS)


def wait_by_estimate(prospect: Prospect) -> Decision:
    """Waits while a far start would be late by the declared run time, and a near one wouldn't."""
    near_slack = prospect.remaining_seconds - prospect.near_seconds
    if prospect.far_seconds <= prospect.remaining_seconds or near_slack <= 0:
        return NO_WAIT
    return Decision(count=len(prospect.near_waits), max_seconds=near_slack)


WAYS = {
    "none": never_wait,
    "endless": always_wait,
    "estimate": wait_by_estimate,
    "decided": choose_wait,
}


def list_scenarios(seconds: float, seed: int) -> dict[str, Scenario]:
    """Returns the scenarios by name."""
    scenarios = {}
    for factor in FACTORS:
        common = {"remote_factor": factor, "seconds": seconds, "seed": seed}
        for load in LOADS:
            scenarios[f"hot rack, {factor}, {load}"] = Scenario(load=load, **common)
        for load in (0.7, 0.95):
            for name, speeds in (("slow hot rack", SLOW_HOT), ("fast hot rack", FAST_HOT)):
                scenarios[f"{name}, {factor}, {load}"] = Scenario(
                    load=load, speeds=speeds, **common
                )
            for name, off in (("declared half", 0.5), ("declared double", 2.0)):
                scenarios[f"{name}, {factor}, {load}"] = Scenario(
                    load=load, estimate_factor=off, **common
                )
            scenarios[f"rack lost, {factor}, {load}"] = Scenario(
                load=load, lost_after=seconds / 2, **common
            )
    return scenarios


class Result:
    """Sums over plays of a load with one way.

    Attributes:
        sent: Number of requests.
        on_time: Number of those that were answered on time.
        core_seconds: Core-seconds of their runs.
        waits: Number of waits.
        paid: Number of those that paid.
    """

    __slots__ = ("sent", "on_time", "core_seconds", "waits", "paid")

    def __init__(self) -> None:
        self.sent = 0
        self.on_time = 0
        self.core_seconds = 0.0
        self.waits = 0
        self.paid = 0


def measure_way(scenarios: list[Scenario], way: str) -> Result:
    """Plays scenarios with one way and returns the sums."""
    result = Result()
    for scenario in scenarios:
        run = play(scenario, WAYS[way])
        result.sent += len(run.sent)
        result.on_time += count_on_time(run)
        result.core_seconds += sum(run.core_seconds)
        result.waits += get_counter(run, "waits_begun")
        result.paid += get_counter(run, "waits_paid")
    return result


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seeds", type=int, default=2, help="plays of each load, from seed 1")
    parser.add_argument("--only", default="", help="part of the names of the loads")
    arguments = parser.parse_args()
    plays = [list_scenarios(arguments.seconds, seed + 1) for seed in range(arguments.seeds)]
    print(f"| load | {' | '.join(WAYS)} | to the better | core-seconds a request | waits paid |")
    print("| --- " * (len(WAYS) + 4) + "|")
    for name in plays[0]:
        if arguments.only in name:
            scenarios = [scenarios[name] for scenarios in plays]
            _print_row(name, {way: measure_way(scenarios, way) for way in WAYS})


def _print_row(name: str, results: dict[str, Result]) -> None:
    shares = " | ".join(f"{result.on_time / result.sent:.3f}" for result in results.values())
    cores = ", ".join(f"{result.core_seconds / result.sent:.2f}" for result in results.values())
    decided = results["decided"]
    better = max(results["none"].on_time, results["endless"].on_time)
    paid = decided.paid / max(1, decided.waits)
    ratio = decided.on_time / max(1, better)
    print(f"| {name} | {shares} | {ratio:.3f} | {cores} | {paid:.2f} |", flush=True)


if __name__ == "__main__":
    main()
