"""Runs experiments with the load tool, each on a new deployment, and prints a summary of each."""

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
from standins.processes import (
    DeploymentPlan,
    LocalDeployment,
    read_starts,
    start_deployment,
    stop_deployment,
)

WARM_UP_SECONDS = 2.5

_METRIC_PATTERN = re.compile(
    r'comfreysill_events_total\{event="([a-z_]+)",role="([a-z]+)"\} ([0-9.]+)'
)


class Usage:
    """Processor time and resident memory of a process."""

    __slots__ = ("cpu_seconds", "resident_bytes")

    def __init__(self, *, cpu_seconds: float, resident_bytes: int) -> None:
        self.cpu_seconds = cpu_seconds
        self.resident_bytes = resident_bytes


def build_plan(experiment: Experiment) -> DeploymentPlan:
    """Builds the deployment plan of an experiment."""
    deployment = experiment.document["floor"]
    return DeploymentPlan(
        entries=deployment["entries"],
        slownesses=deployment["slownesses"],
        slots=deployment["slots"],
        service=deployment["service"],
        zones=deployment["zones"],
        folder=pathlib.Path(".run") / f"experiment-{experiment.name}",
        base_port=24000,
        placement=deployment.get("placement", "finish"),
        queue_share=deployment.get("queue_share", 0.25),
    )


async def run_experiment(path: pathlib.Path) -> dict[str, Any]:
    """Runs an experiment.

    Returns:
        The load tool's summary, extended by event counts, starts, messages and the cost of each
        role.
    """
    experiment = read_experiment(path)
    deployment = await start_deployment(build_plan(experiment))
    try:
        await asyncio.sleep(WARM_UP_SECONDS)
        counters, usage = await read_counters(deployment), read_usage(deployment)
        summary = await asyncio.to_thread(_run_load, deployment, path)
        counters_after, usage_after = await read_counters(deployment), read_usage(deployment)
    finally:
        await stop_deployment(deployment)
    events = {name: counters_after[name] - counters.get(name, 0) for name in counters_after}
    summary["events"] = dict(sorted(events.items()))
    summary |= count_messages(events, summary["tasks"])
    summary |= count_starts(deployment)
    summary["roles"] = summarize_roles(usage, usage_after, summary["starts"])
    return summary


def read_usage(deployment: LocalDeployment) -> dict[str, Usage]:
    """Returns the resource usage of each process so far."""
    usage = {}
    for name, process in deployment.processes.items():
        info = psutil.Process(process.pid)
        times = info.cpu_times()
        resident_bytes = info.memory_info().rss
        usage[name] = Usage(cpu_seconds=times.user + times.system, resident_bytes=resident_bytes)
    return usage


async def read_counters(deployment: LocalDeployment) -> dict[str, float]:
    """Returns the sums of all counters over entries and over agents, as `role.event`."""
    plan = deployment.plan
    urls = [deployment.entry_url(index) for index in range(plan.entries)]
    urls += [deployment.agent_url(index) for index in range(len(plan.slownesses))]
    counters: dict[str, float] = {}
    async with aiohttp.ClientSession() as session:
        for url in urls:
            async with session.get(f"{url}/metrics") as answer:
                text = await answer.text()
            for event, role, value in _METRIC_PATTERN.findall(text):
                name = f"{role}.{event}"
                counters[name] = counters.get(name, 0) + float(value)
    return counters


def count_messages(events: dict[str, float], tasks: int) -> dict[str, Any]:
    """Counts messages between processes by kind and per task, and the wasted share.

    Start frames and at most one result frame per batch are needed; all other messages are wasted.
    """
    to_agents = events.get("entry.frames_to_agents", 0)
    agent_heartbeats = events.get("entry.heartbeats_to_agents", 0)
    to_peers = events.get("entry.frames_to_peers", 0)
    peer_heartbeats = events.get("entry.heartbeats_to_peers", 0)
    from_agents = events.get("agent.frames_to_entries", 0)
    acknowledgements = events.get("agent.frames_empty", 0)
    messages = {
        "starts": to_agents - agent_heartbeats,
        "results": from_agents - acknowledgements,
        "forwards and answers": to_peers - peer_heartbeats,
        "heartbeats": agent_heartbeats + peer_heartbeats,
        "acknowledgements": acknowledgements,
    }
    total = sum(messages.values())
    batches = events.get("entry.batches_sent", 0)
    needed = min(total, messages["starts"] + min(messages["results"], batches))
    return {
        "messages": messages,
        "messages_per_task": round(total / max(1, tasks), 3),
        "wasted_share": round(1 - needed / max(1, total), 3),
    }


def count_starts(deployment: LocalDeployment) -> dict[str, int]:
    """Counts the starts that the runners logged, and repeated starts of the same task."""
    # Team, job and task of each start.
    starts = [tuple(start[1:4]) for start in read_starts(deployment.plan.folder)]
    return {"starts": len(starts), "doubles": len(starts) - len(set(starts))}


def summarize_roles(
    before: dict[str, Usage], after: dict[str, Usage], starts: int
) -> dict[str, dict[str, float]]:
    """Returns processor time per start and the largest resident memory of a process, by role."""
    roles = {}
    for role in ("entry", "agent"):
        names = [name for name in after if name.startswith(role)]
        cpu_seconds = sum(after[name].cpu_seconds - before[name].cpu_seconds for name in names)
        roles[role] = {
            "processes": len(names),
            "cpu_seconds": round(cpu_seconds, 2),
            "cpu_us_per_start": round(cpu_seconds / max(1, starts) * 1e6, 1),
            "resident_mb": round(max(after[name].resident_bytes for name in names) / 1e6, 1),
        }
    return roles


def print_summary(summary: dict[str, Any]) -> None:
    """Prints a summary as text."""
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


def _run_load(deployment: LocalDeployment, path: pathlib.Path) -> dict[str, Any]:
    entries = ",".join(deployment.entry_url(index) for index in range(deployment.plan.entries))
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
