"""Runs an experiment on a floor of its own, with the load tool, and prints what came of it."""

import argparse
import asyncio
import json
import pathlib
import re
import subprocess
import sys
from typing import Any

import aiohttp
import psutil

from comfreysill.load.experiment import Experiment, read_experiment
from standins.processes import Floor, FloorPlan, read_starts, start_floor, stop_floor

SETTLE_SECONDS = 2.5

_METRIC = re.compile(r'comfreysill_events_total\{event="([a-z_]+)",role="([a-z]+)"\} ([0-9.]+)')


class Usage:
    """Processor seconds and resident bytes of a process."""

    __slots__ = ("seconds", "resident")

    def __init__(self, *, seconds: float, resident: int) -> None:
        self.seconds = seconds
        self.resident = resident


def build_plan(experiment: Experiment) -> FloorPlan:
    """Builds the floor of an experiment."""
    floor = experiment.document["floor"]
    return FloorPlan(
        entries=floor["entries"],
        slownesses=floor["slownesses"],
        slots=floor["slots"],
        service=floor["service"],
        zones=floor["zones"],
        folder=pathlib.Path(".run") / f"experiment-{experiment.name}",
        base_port=24000,
        placement=floor.get("placement", "finish"),
        queue_share=floor.get("queue_share", 0.25),
    )


async def run_experiment(path: pathlib.Path) -> dict[str, Any]:
    """Runs an experiment.

    Returns:
        The load tool's summary with starts, messages and the cost of each role.
    """
    experiment = read_experiment(path)
    floor = await start_floor(build_plan(experiment))
    try:
        await asyncio.sleep(SETTLE_SECONDS)
        counters, usage = await read_counters(floor), read_usage(floor)
        summary = await asyncio.to_thread(_run_load, floor, path)
        counters_after, usage_after = await read_counters(floor), read_usage(floor)
    finally:
        await stop_floor(floor)
    events = {name: counters_after[name] - counters.get(name, 0) for name in counters_after}
    summary["events"] = dict(sorted(events.items()))
    summary |= count_messages(events, summary["tasks"])
    summary |= count_starts(floor)
    summary["roles"] = describe_roles(usage, usage_after, summary["starts"])
    return summary


def read_usage(floor: Floor) -> dict[str, Usage]:
    """Returns what each process has used so far."""
    usage = {}
    for name, process in floor.processes.items():
        info = psutil.Process(process.pid)
        times = info.cpu_times()
        resident = info.memory_info().rss
        usage[name] = Usage(seconds=times.user + times.system, resident=resident)
    return usage


async def read_counters(floor: Floor) -> dict[str, float]:
    """Returns the sums of all counters over entries and over agents, as `role.event`."""
    plan = floor.plan
    urls = [floor.entry_url(index) for index in range(plan.entries)]
    urls += [floor.agent_url(index) for index in range(len(plan.slownesses))]
    counters: dict[str, float] = {}
    async with aiohttp.ClientSession() as session:
        for url in urls:
            async with session.get(f"{url}/metrics") as answer:
                text = await answer.text()
            for event, role, value in _METRIC.findall(text):
                name = f"{role}.{event}"
                counters[name] = counters.get(name, 0) + float(value)
    return counters


def count_messages(events: dict[str, float], tasks: int) -> dict[str, Any]:
    """Returns messages between processes by kind, for each task, and the wasted share.

    Wasted is all but one start and one result frame for each batch of a job at a target.
    """
    to_agents = events.get("entry.frames_to_agents", 0)
    idle = events.get("entry.heartbeats_to_agents", 0)
    to_peers = events.get("entry.frames_to_peers", 0)
    beats = events.get("entry.heartbeats_to_peers", 0)
    from_agents = events.get("agent.frames_to_entries", 0)
    acks = events.get("agent.frames_empty", 0)
    messages = {
        "starts": to_agents - idle,
        "results": from_agents - acks,
        "forwards and answers": to_peers - beats,
        "heartbeats": idle + beats,
        "acknowledgements": acks,
    }
    total = sum(messages.values())
    batches = events.get("entry.batches_sent", 0)
    needed = min(total, messages["starts"] + min(messages["results"], batches))
    return {
        "messages": messages,
        "messages_per_task": round(total / max(1, tasks), 3),
        "wasted_share": round(1 - needed / max(1, total), 3),
    }


def count_starts(floor: Floor) -> dict[str, int]:
    """Counts the runners' starts, and those that came twice."""
    starts = [tuple(start[1:4]) for start in read_starts(floor.plan.folder)]
    return {"starts": len(starts), "doubles": len(starts) - len(set(starts))}


def describe_roles(
    before: dict[str, Usage], after: dict[str, Usage], starts: int
) -> dict[str, dict[str, float]]:
    """Returns processor time for each start and memory, by role."""
    roles = {}
    for role in ("entry", "agent"):
        names = [name for name in after if name.startswith(role)]
        seconds = sum(after[name].seconds - before[name].seconds for name in names)
        roles[role] = {
            "processes": len(names),
            "cpu_seconds": round(seconds, 2),
            "cpu_us_per_start": round(seconds / max(1, starts) * 1e6, 1),
            "resident_mb": round(max(after[name].resident for name in names) / 1e6, 1),
        }
    return roles


def print_summary(summary: dict[str, Any]) -> None:
    """Prints a summary for people."""
    print(f"{summary['title']}: seed {summary['seed']}, load {summary['load']}")
    print(
        f"  jobs {summary['jobs']}, complete {summary['complete']}, tasks {summary['tasks']}, "
        f"starts {summary['starts']}, doubles {summary['doubles']}, "
        f"partial {summary['partial']}, broken {summary['broken']}"
    )
    print(f"  failures {summary['failures']}")
    for name, row in summary["classes"].items():
        print(f"  {name}: {row}")
    print(f"  messages {summary['messages']}")
    print(
        f"  messages for each task {summary['messages_per_task']}, "
        f"wasted share {summary['wasted_share']}"
    )
    for role, row in summary["roles"].items():
        print(f"  {role}: {row}")


def _run_load(floor: Floor, path: pathlib.Path) -> dict[str, Any]:
    entries = ",".join(floor.entry_url(index) for index in range(floor.plan.entries))
    command = [
        sys.executable,
        "-m",
        "comfreysill.cli.main",
        "load",
        str(path),
        "--json",
        "--entry",
        entries,
    ]
    run = subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True)
    return json.loads(run.stdout)


def main() -> None:
    """Runs experiments and writes each summary to `.run/NAME.json`."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("experiments", nargs="+", type=pathlib.Path)
    for path in parser.parse_args().experiments:
        summary = asyncio.run(run_experiment(path))
        target = pathlib.Path(".run") / f"{summary['experiment']}.json"
        target.write_text(json.dumps(summary, indent=1))
        print_summary(summary)


if __name__ == "__main__":
    main()
