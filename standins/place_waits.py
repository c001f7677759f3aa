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


def compare_ways(scenario: Scenario, names=tuple(WAYS)) -> dict[str, tuple[float, float, float]]:
    """Returns for each way: share on time, core-seconds a request, share of the waits that paid."""
    results = {}
    for name in names:
        run = play(scenario, WAYS[name])
        sent = len(run.sent)
        waits = get_counter(run, "waits_begun")
        paid = get_counter(run, "waits_paid") / waits if waits else 0.0
        results[name] = (count_on_time(run) / sent, sum(run.core_seconds) / sent, paid)
    return results


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="part of the names of the scenarios")
    arguments = parser.parse_args()
    print(f"| load | {' | '.join(WAYS)} | to the better | core-s | waits paid |")
    print("| --- " * (len(WAYS) + 4) + "|")
    for name, scenario in list_scenarios(arguments.seconds, arguments.seed).items():
        if arguments.only not in name:
            continue
        results = compare_ways(scenario)
        better = max(results["none"][0], results["endless"][0])
        shares = " | ".join(f"{results[way][0]:.3f}" for way in WAYS)
        cores = ", ".join(f"{results[way][1]:.2f}" for way in WAYS)
        decided = results["decided"]
        ratio = decided[0] / better if better else 1.0
        print(f"| {name} | {shares} | {ratio:.3f} | {cores} | {decided[2]:.2f} |", flush=True)


if __name__ == "__main__":
    main()
