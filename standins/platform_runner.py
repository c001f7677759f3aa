"""Stand-in for a runner that follows the platform's published protocol, with fault injection.

Each start and end is logged; tests read the log to detect overlapping runs of a task. The clock
starts with the process. Calls that are carried out late are kept in a spool file beside the log, so
that the next process with the same log carries out those that are due in its time.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import time
from typing import Any

import aiohttp
import falcon
import falcon.asgi
import uvicorn

MAX_LEASE_SECONDS = 1.0
HEARTBEAT_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.005
# A task whose payload begins so crashes the runner this long after its start.
CRASH_PREFIX = "crash "
CRASH_DELAY_SECONDS = 0.05
CRASH_EXIT_STATUS = 70
# A call without an answer is kept open for this long; all callers give up before.
SILENCE_SECONDS = 3.0
# Share of the late calls of the process before that are carried out at the very start.
FIRST_MOMENT_PROBABILITY = 0.3
# In the log: all tasks of the runner.
ALL_TASKS = "*"
# In the log, after "start": the run is one of a call that was carried out late.
LATE_EVENT = "late"


class Run:
    """A run of a task.

    Attributes:
        number: Number of the run, which grows with each run of the task.
        work_seconds: Run time at speed 1.
        completed_seconds: Completed part of `work_seconds`.
    """

    __slots__ = ("number", "work_seconds", "completed_seconds")

    def __init__(self, *, number: int, work_seconds: float) -> None:
        self.number = number
        self.work_seconds = work_seconds
        self.completed_seconds = 0.0


class Runner:
    """State of one runner.

    Attributes:
        runner_id: ID of the runner's instance.
        started_at_ms: Unix time of the runner's start, in milliseconds.
        cpu: CPU capacity reported in heartbeats, in thousandths of a core.
        log: File to which each start and end of a run is written.
        clock_started_at: Monotonic time in seconds at which the runner's clock was 0.
        fencing_token: Highest fencing token received; commands with a lower one are refused.
        lease_expires_at_ms: Time on the runner's clock in milliseconds after which all runs end; 0
            before the first lease.
        running: Active runs by task.
        pending_ends: Ends that the agent hasn't acknowledged yet, each a list of sequence number,
            task, run number, outcome and detail.
        highest_ended_run: Highest number of a stopped or ended run, by task.
        next_end_sequence: Sequence number of the next end.
        speed: Seconds of work completed per second; 0 stalls all runs.
        late_every: Unless 0, each command whose ordinal is a multiple of this is applied after 2 s,
            and once more after 3 s, when it is answered.
        late_rate: Probability that a call gets no answer and is carried out late.
        max_delay_seconds: Longest time that such a call is late.
        draining: Whether heartbeats report the runner as draining.
        command_count: Number of start and stop commands received.
    """

    __slots__ = (
        "runner_id",
        "started_at_ms",
        "cpu",
        "log",
        "clock_started_at",
        "fencing_token",
        "lease_expires_at_ms",
        "running",
        "pending_ends",
        "highest_ended_run",
        "next_end_sequence",
        "speed",
        "late_every",
        "late_rate",
        "max_delay_seconds",
        "draining",
        "command_count",
    )

    def __init__(self, *, runner_id: str, cpu: int, log: pathlib.Path) -> None:
        self.runner_id = runner_id
        self.started_at_ms = int(time.time() * 1000)
        self.cpu = cpu
        self.log = log
        self.clock_started_at = time.monotonic()
        self.fencing_token = 0
        self.lease_expires_at_ms = 0
        self.running: dict[str, Run] = {}
        self.pending_ends: list[list[Any]] = []
        self.highest_ended_run: dict[str, int] = {}
        self.next_end_sequence = 1
        self.speed = 1.0
        self.late_every = 0
        self.late_rate = 0.0
        self.max_delay_seconds = 0.0
        self.draining = False
        self.command_count = 0


def read_clock_ms(runner: Runner) -> int:
    """Returns the runner's clock, the time since its start, in milliseconds."""
    return int((time.monotonic() - runner.clock_started_at) * 1000)


def log_event(runner: Runner, event: str, task: str) -> None:
    """Logs the start or the end of a run."""
    with runner.log.open("a") as log:
        log.write(json.dumps([time.time(), event, task, len(runner.running)]) + "\n")


def end_run(runner: Runner, task: str, outcome: str) -> None:
    """Ends a run and queues its end for the agent."""
    run = runner.running.pop(task)
    runner.highest_ended_run[task] = run.number
    runner.pending_ends.append([runner.next_end_sequence, task, run.number, outcome, ""])
    runner.next_end_sequence += 1
    log_event(runner, outcome, task)


def apply_command(runner: Runner, kind: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Applies a command of the agent: `start`, `stop` or `hold`.

    Returns:
        HTTP status and body of the answer.
    """
    clock = {"clock-ms": read_clock_ms(runner), "born": runner.started_at_ms}
    if body.get("fencing-token", 0) < runner.fencing_token:
        return 409, {**clock, "reason": "fence"}
    runner.fencing_token = body.get("fencing-token", 0)
    if body.get("deadline-ms"):
        longest_ms = read_clock_ms(runner) + int(MAX_LEASE_SECONDS * 1000)
        lease_end_ms = min(body["deadline-ms"], longest_ms)
        runner.lease_expires_at_ms = max(runner.lease_expires_at_ms, lease_end_ms)
    if kind == "hold":
        last_seen = body.get("last-seen", 0)
        runner.pending_ends = [end for end in runner.pending_ends if end[0] > last_seen]
    if kind == "start":
        reason = _start_run(runner, body)
        return (409, {**clock, "reason": reason}) if reason else (200, clock)
    if kind == "stop":
        current = runner.running.get(body["task"])
        if current is not None and current.number <= body["run"]:
            end_run(runner, body["task"], "stopped")
        runner.highest_ended_run[body["task"]] = max(
            runner.highest_ended_run.get(body["task"], 0), body["run"]
        )
    return 200, clock


def _start_run(runner: Runner, body: dict[str, Any]) -> str:
    """Starts a run; returns the reason of a refusal, or an empty string if the run is active."""
    task, number = body["task"], body["run"]
    current = runner.running.get(task)
    if current is not None:
        return "" if current.number == number else "old"
    if number <= runner.highest_ended_run.get(task, 0):
        return "old"
    if body["deadline-ms"] < read_clock_ms(runner):
        return "late"
    payload = body["spec"]
    work_seconds = float(payload.removeprefix(CRASH_PREFIX))
    runner.running[task] = Run(number=number, work_seconds=work_seconds)
    log_event(runner, "start", task)
    if payload.startswith(CRASH_PREFIX):
        asyncio.get_running_loop().call_later(CRASH_DELAY_SECONDS, _crash, runner, task)
    return ""


def _crash(runner: Runner, task: str) -> None:
    """Ends the process at once if a task still runs; all runs end with it."""
    if task in runner.running:
        log_event(runner, "killed", ALL_TASKS)
        os._exit(CRASH_EXIT_STATUS)


async def advance_runs(runner: Runner) -> None:
    """Advances all runs until cancelled; ends those that complete or whose lease has expired."""
    previous = time.monotonic()
    while True:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        now = time.monotonic()
        progress, previous = (now - previous) * runner.speed, now
        for task, run in list(runner.running.items()):
            run.completed_seconds += progress
            if read_clock_ms(runner) > runner.lease_expires_at_ms:
                end_run(runner, task, "lapsed")
            elif run.completed_seconds >= run.work_seconds:
                end_run(runner, task, "done")


async def send_heartbeats(runner: Runner, options: argparse.Namespace) -> None:
    """Sends heartbeats to the agent until cancelled."""
    sequence = 0
    url = f"http://{options.agent}/api/instances/{runner.runner_id}/heartbeat"
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
        while True:
            sequence += 1
            body = {
                "service": options.service,
                "address": f"{options.host}:{options.port}",
                "zone": options.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if runner.draining else "ready",
                "cold-left-ms": 0,
                "seq": sequence,
                "born": runner.started_at_ms,
                "clock-ms": read_clock_ms(runner),
                "capacity": {"cpu": runner.cpu, "mem-mb": 100000, "gpus": 0},
                "labels": ["a", "r1"],
            }
            try:
                async with session.post(url, json=body) as answer:
                    await answer.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS / 5)
                continue
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


class RunnerResource:
    """HTTP endpoints of the runner.

    The reason phrase `X` of the status lines is a placeholder and not used.
    """

    __slots__ = ("runner",)

    def __init__(self, *, runner: Runner) -> None:
        self.runner = runner

    async def on_post_start(self, request: Any, response: Any) -> None:
        """Starts a run."""
        await self._handle_command(request, response, "start")

    async def on_post_stop(self, request: Any, response: Any) -> None:
        """Stops a run."""
        await self._handle_command(request, response, "stop")

    async def on_post_hold(self, request: Any, response: Any) -> None:
        """Renews the lease and lists runs; waits up to `wait-ms` for a run to end."""
        runner = self.runner
        body = await request.get_media()
        if await self._is_refused(request, response, "hold", body):
            return
        status, answer = apply_command(runner, "hold", body)
        if status == 200:
            deadline = time.monotonic() + body.get("wait-ms", 0) / 1000
            while not runner.pending_ends and time.monotonic() < deadline:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            answer["clock-ms"] = read_clock_ms(runner)
            answer["running"] = [
                [task, run.number, "", int(100 * run.completed_seconds / run.work_seconds), 0]
                for task, run in runner.running.items()
            ]
            # The other ends stay pending for later answers.
            answer["ended"] = runner.pending_ends[:500]
        response.status = f"{status} X"
        response.media = answer

    async def _handle_command(self, request: Any, response: Any, kind: str) -> None:
        runner = self.runner
        body = await request.get_media()
        runner.command_count += 1
        if await self._is_refused(request, response, kind, body):
            return
        if runner.late_every and runner.command_count % runner.late_every == 0:
            asyncio.get_running_loop().call_later(2.0, apply_command, runner, kind, body)
            await asyncio.sleep(3.0)
        status, answer = apply_command(runner, kind, body)
        response.status = f"{status} X"
        response.media = answer

    async def _is_refused(
        self, request: Any, response: Any, kind: str, body: dict[str, Any]
    ) -> bool:
        """Returns True for a call to another runner, or one that is carried out late.

        The latter gets its answer, a refusal, long after its caller has given up.
        """
        runner = self.runner
        if request.get_header("X-Expect-Instance") not in (None, runner.runner_id):
            response.status = "421 X"
            return True
        if random.random() >= runner.late_rate:
            return False
        delay = random.uniform(0.0, runner.max_delay_seconds)
        with _find_spool(runner).open("a") as spool:
            spool.write(json.dumps([time.time() + delay, kind, body]) + "\n")
        asyncio.get_running_loop().call_later(delay, _carry_out_late, runner, kind, body)
        await asyncio.sleep(SILENCE_SECONDS)
        response.status = "503 X"
        return True

    async def on_post_knobs(self, request: Any, response: Any) -> None:
        """Sets fault injection options by name."""
        faults = await request.get_media()
        self.runner.speed = faults.get("speed", self.runner.speed)
        self.runner.late_every = faults.get("late", self.runner.late_every)
        self.runner.late_rate = faults.get("late-rate", self.runner.late_rate)
        self.runner.max_delay_seconds = faults.get("max-delay", self.runner.max_delay_seconds)
        self.runner.draining = faults.get("draining", self.runner.draining)
        response.media = {}


def _find_spool(runner: Runner) -> pathlib.Path:
    return runner.log.with_suffix(".late")


def _carry_out_late(runner: Runner, kind: str, body: dict[str, Any]) -> None:
    task = body.get("task", "")
    was_running = task in runner.running
    apply_command(runner, kind, body)
    if not was_running and task in runner.running:
        log_event(runner, LATE_EVENT, task)


def schedule_spooled_calls(runner: Runner) -> None:
    """Schedules the late calls of earlier processes that aren't due yet, some of them for now."""
    spool, now = _find_spool(runner), time.time()
    lines = spool.read_text().splitlines() if spool.exists() else []
    calls = [call for call in map(json.loads, lines) if call[0] > now]
    remaining = []
    for due, kind, body in calls:
        if random.random() < FIRST_MOMENT_PROBABILITY:
            _carry_out_late(runner, kind, body)
        else:
            remaining.append([due, kind, body])
            loop = asyncio.get_running_loop()
            loop.call_later(due - now, _carry_out_late, runner, kind, body)
    spool.write_text("".join(json.dumps(call) + "\n" for call in remaining))


def build_runner_app(runner: Runner) -> falcon.asgi.App:
    """Builds the HTTP application."""
    app = falcon.asgi.App()
    resource = RunnerResource(runner=runner)
    app.add_route("/api/run-start", resource, suffix="start")
    app.add_route("/api/run-stop", resource, suffix="stop")
    app.add_route("/api/hold", resource, suffix="hold")
    app.add_route("/knobs", resource, suffix="knobs")
    return app


async def serve(options: argparse.Namespace) -> None:
    """Serves the agent's commands and sends heartbeats, until the server is stopped."""
    runner = Runner(runner_id=options.id, cpu=options.cpu, log=pathlib.Path(options.log))
    schedule_spooled_calls(runner)
    app = build_runner_app(runner)
    config = uvicorn.Config(app, host=options.host, port=options.port, log_level="warning")
    tasks = [
        asyncio.create_task(advance_runs(runner)),
        asyncio.create_task(send_heartbeats(runner, options)),
    ]
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
