"""Stand-in for a runner, by the users' pages: its reports, starts, stops, holds and leases.

It starts whatever it is told to start (`admission-check` false), and does nothing for a lower
fencing token or another intended lifetime. A task's run time in seconds is its `spec`. Each start
and end is written to a file of events.
"""

import argparse
import asyncio
import json
import time

import aiohttp
from aiohttp import web

MAX_HOLD_MS = 1000
MAX_WAIT_MS = 2000
ENDS_PER_ANSWER = 500
STEP_SECONDS = 0.005


class Runner:
    """State of one life of a runner."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        # By task: its run number, start on the runner's clock in ms, and run time in ms.
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest_ended = {}
        self.sequence = 0

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def write(self, what, **fields):
        event = {"at": time.time(), "runner": self.options.id, "what": what, **fields}
        with open(self.options.events, "a") as events:
            events.write(json.dumps(event) + "\n")

    def end(self, task, how):
        run, _, _ = self.running.pop(task)
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.write("end", task=task, run=run, how=how)

    def describe(self):
        """Returns what the runner says of itself, all fields that the pages name."""
        self.sequence += 1
        return {
            "service": self.options.service,
            "address": f"{self.options.ip}:{self.options.port}",
            "zone": self.options.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": self.options.cpu, "mem-mb": 131072, "gpus": 0},
            "labels": ["a", "r1-1"],
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "seq": self.sequence,
        }


def answer(runner, status, **fields):
    return web.json_response(
        {"clock-ms": runner.clock_ms(), "born": runner.born, **fields}, status=status
    )


def extend_lease(runner, body):
    deadline = body.get("deadline-ms", 0)
    if deadline:
        runner.lease_ms = max(runner.lease_ms, min(deadline, runner.clock_ms() + MAX_HOLD_MS))


async def accept(runner, request):
    """Returns the body of a call, or the answer to one that isn't taken."""
    if request.headers.get("X-Expect-Instance", runner.options.id) != runner.options.id:
        return None, answer(runner, 421)
    body = await request.json()
    token = body.get("fencing-token", 0)
    if token < runner.token:
        return None, answer(runner, 409, reason="fence")
    runner.token = token
    return body, None


async def run_start(request):
    runner = request.app["runner"]
    body, refusal = await accept(runner, request)
    if refusal is not None:
        return refusal
    task, run = body["task"], body["run"]
    extend_lease(runner, body)
    if task in runner.running:
        return (
            answer(runner, 200)
            if runner.running[task][0] == run
            else answer(runner, 409, reason="old")
        )
    if run <= runner.highest_ended.get(task, 0):
        return answer(runner, 409, reason="old")
    if body["deadline-ms"] <= runner.clock_ms():
        return answer(runner, 409, reason="late")
    runner.running[task] = (run, runner.clock_ms(), float(body["spec"]) * 1000)
    runner.write("start", task=task, run=run, at_work=len(runner.running))
    return answer(runner, 200)


async def run_stop(request):
    runner = request.app["runner"]
    body, refusal = await accept(runner, request)
    if refusal is not None:
        return refusal
    task, run = body["task"], body["run"]
    if task in runner.running and runner.running[task][0] <= run:
        runner.end(task, "stopped")
    runner.highest_ended[task] = max(run, runner.highest_ended.get(task, 0))
    return answer(runner, 200)


async def hold(request):
    runner = request.app["runner"]
    body, refusal = await accept(runner, request)
    if refusal is not None:
        return refusal
    extend_lease(runner, body)
    last_seen = body.get("last-seen", 0)
    runner.ended = [end for end in runner.ended if end[0] > last_seen]
    until = time.monotonic() + min(body.get("wait-ms", 0), MAX_WAIT_MS) / 1000
    while not runner.ended and time.monotonic() < until:
        await asyncio.sleep(STEP_SECONDS)
    now = runner.clock_ms()
    running = [
        [task, run, "", min(99, int(100 * (now - began) / work)), 0]
        for task, (run, began, work) in runner.running.items()
    ]
    return answer(runner, 200, running=running, ended=runner.ended[:ENDS_PER_ANSWER])


async def healthz(request):
    return web.Response(text="ok")


async def work(runner):
    """Ends the runs that are done, and all of them once the lease is over."""
    while True:
        await asyncio.sleep(STEP_SECONDS)
        now = runner.clock_ms()
        for task, (_, began, duration) in list(runner.running.items()):
            if now > runner.lease_ms:
                runner.end(task, "lapsed")
            elif now - began >= duration:
                runner.end(task, "done")


async def report(runner):
    """Reports to the agent on this machine."""
    options = runner.options
    url = f"http://{options.agent}/api/instances/{options.id}/heartbeat"
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
        while True:
            try:
                async with session.post(url, json=runner.describe()) as response:
                    await response.read()
                    accepted = response.status // 100 == 2
            except (aiohttp.ClientError, TimeoutError, OSError):
                accepted = False
            await asyncio.sleep(options.heartbeat_ms / 1000 if accepted else 0.2)


async def serve(options):
    runner = Runner(options)
    runner.write("born", born=runner.born)
    app = web.Application()
    app["runner"] = runner
    app.router.add_post("/api/run-start", run_start)
    app.router.add_post("/api/run-stop", run_stop)
    app.router.add_post("/api/hold", hold)
    app.router.add_get("/healthz", healthz)
    app_runner = web.AppRunner(app, access_log=None)
    await app_runner.setup()
    await web.TCPSite(app_runner, options.ip, options.port).start()
    await asyncio.gather(work(runner), report(runner))


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "agent", "service", "zone", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--heartbeat-ms", type=int, required=True)
    parser.add_argument("--cpu", type=int, default=32000)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
