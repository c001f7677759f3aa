"""Stand-in for a runner of the platform, by its published rules, with faults to order.

Each start and end goes to a log, from which tests tell whether a task ran twice at a time.
"""

import argparse
import asyncio
import json
import pathlib
import time
from typing import Any

import aiohttp
import falcon
import falcon.asgi
import uvicorn

LEASE_MOST_SECONDS = 1.0
REPORT_SECONDS = 0.5
STEP_SECONDS = 0.005


class Run:
    """A run: its number, its work, and how much of that is done, in seconds."""

    __slots__ = ("number", "work", "done")

    def __init__(self, *, number: int, work: float) -> None:
        self.number = number
        self.work = work
        self.done = 0.0


class Runner:
    """State of one runner.

    Attributes:
        born: Unix time in milliseconds of its start.
        running: Runs by task.
        ended: Ends that the agent hasn't seen yet.
        closed: Highest run of each task that was stopped or has ended.
        speed: Work that is done in a second; 0 stands still.
        late: Share of the orders that are not answered and carried out later.
    """

    __slots__ = (
        "runner_id",
        "born",
        "cpu",
        "log",
        "token",
        "lease_until",
        "running",
        "ended",
        "closed",
        "next_end",
        "speed",
        "late",
        "draining",
        "orders",
    )

    def __init__(self, *, runner_id: str, cpu: int, log: pathlib.Path) -> None:
        self.runner_id = runner_id
        self.born = int(time.time() * 1000)
        self.cpu = cpu
        self.log = log
        self.token = 0
        self.lease_until = 0.0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.closed: dict[str, int] = {}
        self.next_end = 1
        self.speed = 1.0
        self.late = 0
        self.draining = False
        self.orders = 0


def read_clock_ms() -> int:
    """Returns the runner's steady clock in milliseconds."""
    return int(time.monotonic() * 1000)


def write_line(runner: Runner, event: str, task: str) -> None:
    """Logs a start or an end."""
    with runner.log.open("a") as log:
        log.write(json.dumps([time.time(), event, task, len(runner.running)]) + "\n")


def end_run(runner: Runner, task: str, how: str) -> None:
    """Ends a run and lists its end."""
    run = runner.running.pop(task)
    runner.closed[task] = run.number
    runner.ended.append([runner.next_end, task, run.number, how, ""])
    runner.next_end += 1
    write_line(runner, how, task)


def take_order(runner: Runner, kind: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Carries out one order.

    Returns:
        Status and body of the answer.
    """
    clock = {"clock-ms": read_clock_ms(), "born": runner.born}
    if body.get("fencing-token", 0) < runner.token:
        return 409, {**clock, "reason": "fence"}
    runner.token = body.get("fencing-token", 0)
    if body.get("deadline-ms"):
        until = min(body["deadline-ms"] / 1000, time.monotonic() + LEASE_MOST_SECONDS)
        runner.lease_until = max(runner.lease_until, until)
    if kind == "start":
        reason = _start(runner, body)
        return (409, {**clock, "reason": reason}) if reason else (200, clock)
    if kind == "stop":
        known = runner.running.get(body["task"])
        if known is not None and known.number <= body["run"]:
            end_run(runner, body["task"], "stopped")
        runner.closed[body["task"]] = max(runner.closed.get(body["task"], 0), body["run"])
    return 200, clock


def _start(runner: Runner, body: dict[str, Any]) -> str:
    task, number = body["task"], body["run"]
    known = runner.running.get(task)
    if known is not None:
        return "" if known.number == number else "old"
    if number <= runner.closed.get(task, 0):
        return "old"
    if body["deadline-ms"] < read_clock_ms():
        return "late"
    runner.running[task] = Run(number=number, work=float(body["spec"]))
    write_line(runner, "start", task)
    return ""


async def work(runner: Runner) -> None:
    """Advances all runs until it is cancelled."""
    before = time.monotonic()
    while True:
        await asyncio.sleep(STEP_SECONDS)
        now = time.monotonic()
        passed, before = (now - before) * runner.speed, now
        for task, run in list(runner.running.items()):
            run.done += passed
            if now > runner.lease_until:
                end_run(runner, task, "lapsed")
            elif run.done >= run.work:
                end_run(runner, task, "done")


async def report(runner: Runner, options: argparse.Namespace) -> None:
    """Reports to the agent until it is cancelled."""
    sequence = 0
    url = f"http://{options.agent}/api/instances/{runner.runner_id}/heartbeat"
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
        while True:
            sequence += 1
            body = {
                "service": options.service,
                "address": f"{options.host}:{options.port}",
                "zone": options.zone,
                "state": "draining" if runner.draining else "ready",
                "seq": sequence,
                "born": runner.born,
                "capacity": {"cpu": runner.cpu, "mem-mb": 100000, "gpus": 0},
                "labels": ["a", "r1"],
            }
            try:
                async with session.post(url, json=body) as answer:
                    await answer.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(REPORT_SECONDS / 5)
                continue
            await asyncio.sleep(REPORT_SECONDS)


class Orders:
    """The runner's calls."""

    __slots__ = ("runner",)

    def __init__(self, *, runner: Runner) -> None:
        self.runner = runner

    async def on_post_start(self, request: Any, response: Any) -> None:
        """Starts a run."""
        await self._serve(request, response, "start")

    async def on_post_stop(self, request: Any, response: Any) -> None:
        """Stops a run."""
        await self._serve(request, response, "stop")

    async def on_post_hold(self, request: Any, response: Any) -> None:
        """Renews the lease and lists runs."""
        runner = self.runner
        body = await request.get_media()
        status, answer = take_order(runner, "hold", body)
        if status == 200:
            seen = body.get("last-seen", 0)
            runner.ended = [end for end in runner.ended if end[0] > seen]
            ends_at = time.monotonic() + body.get("wait-ms", 0) / 1000
            while not runner.ended and time.monotonic() < ends_at:
                await asyncio.sleep(STEP_SECONDS)
            answer["clock-ms"] = read_clock_ms()
            answer["running"] = [
                [task, run.number, "", int(100 * run.done / run.work), 0]
                for task, run in runner.running.items()
            ]
            answer["ended"] = runner.ended[:500]
        response.status = f"{status} X"
        response.media = answer

    async def _serve(self, request: Any, response: Any, kind: str) -> None:
        runner = self.runner
        body = await request.get_media()
        runner.orders += 1
        if request.get_header("X-Expect-Instance") not in (None, runner.runner_id):
            response.status = "421 X"
            return
        if runner.late and runner.orders % runner.late == 0:
            asyncio.get_running_loop().call_later(2.0, take_order, runner, kind, body)
            await asyncio.sleep(3.0)
        status, answer = take_order(runner, kind, body)
        response.status = f"{status} X"
        response.media = answer

    async def on_post_knobs(self, request: Any, response: Any) -> None:
        """Sets faults by name."""
        knobs = await request.get_media()
        self.runner.speed = knobs.get("speed", self.runner.speed)
        self.runner.late = knobs.get("late", self.runner.late)
        self.runner.draining = knobs.get("draining", self.runner.draining)
        response.media = {}


def build_runner_app(runner: Runner) -> falcon.asgi.App:
    """Builds the HTTP application."""
    app = falcon.asgi.App()
    orders = Orders(runner=runner)
    app.add_route("/api/run-start", orders, suffix="start")
    app.add_route("/api/run-stop", orders, suffix="stop")
    app.add_route("/api/hold", orders, suffix="hold")
    app.add_route("/knobs", orders, suffix="knobs")
    return app


async def serve(options: argparse.Namespace) -> None:
    """Serves the stand-in."""
    runner = Runner(runner_id=options.id, cpu=options.cpu, log=pathlib.Path(options.log))
    app = build_runner_app(runner)
    config = uvicorn.Config(app, host=options.host, port=options.port, log_level="warning")
    tasks = [asyncio.create_task(work(runner)), asyncio.create_task(report(runner, options))]
    await uvicorn.Server(config).serve()
    for task in tasks:
        task.cancel()


def main() -> None:
    """Reads the command line and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--agent", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--cpu", type=int, default=8000)
    parser.add_argument("--log", required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
