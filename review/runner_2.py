"""Stand-in for a runner, by the users' pages: its reports, starts, stops, holds and leases.

It starts whatever it is told to start (`admission-check` false), and does nothing for a lower
fencing token or another intended lifetime. A task's run time in seconds is the first word of its
`spec`. Each start and end is written to a file of events. Each runner is on a rack of its own.
Where `spec` ends with ` late`, the first start gets no answer and is carried out seconds later,
also by the next life of the runner under the same id; the file `--late-call` keeps it.
"""

import argparse
import asyncio
import json
import pathlib
import time

import aiohttp
from aiohttp import web

MAX_HOLD_MS = 1000
MAX_WAIT_MS = 2000
ENDS_PER_ANSWER = 500
STEP_SECONDS = 0.005
LATE_MARK = " late"
# When a start without an answer is carried out: so long after it was sent, and after the birth of a
# next life under the same id.
MIN_LATE_S, MAX_LATE_S = 2.0, 12.0
LATE_AFTER_BIRTH_S = 0.2


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
            "labels": ["a", f"r-{self.options.id}"],
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
    if body["spec"].endswith(LATE_MARK) and leave_unanswered(runner, body):
        await asyncio.Event().wait()
    return start(runner, body)


def leave_unanswered(runner, body):
    """Keeps a start to carry it out late, unless a runner has kept one before; returns whether."""
    late_call = pathlib.Path(runner.options.late_call)
    if late_call.exists():
        return False
    due = time.time() + MAX_LATE_S
    late_call.write_text(json.dumps([runner.options.id, time.time(), body]))
    runner.write("left unanswered", task=body["task"], run=body["run"])
    asyncio.create_task(carry_out_late(runner, due, body))
    return True


def find_late_call(runner):
    """Returns when to carry out a start that an earlier life has left unanswered, and the start."""
    late_call = pathlib.Path(runner.options.late_call or "none")
    if not late_call.exists():
        return None
    name, sent_at, body = json.loads(late_call.read_text())
    due = time.time() + LATE_AFTER_BIRTH_S
    is_due = MIN_LATE_S <= due - sent_at <= MAX_LATE_S
    return (due, body) if name == runner.options.id and is_due else None


async def carry_out_late(runner, due, body):
    """Carries out a start that was left unanswered, unless a higher token has been seen by then."""
    await asyncio.sleep(max(0.0, due - time.time()))
    if body["fencing-token"] >= runner.token:
        runner.token = body["fencing-token"]
        start(runner, body)


def start(runner, body):
    """Starts a run as a call says, and returns the answer."""
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
    runner.running[task] = (run, runner.clock_ms(), float(body["spec"].split()[0]) * 1000)
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
    await asyncio.sleep(options.first_report_s)
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
    late = find_late_call(runner)
    if late is not None:
        asyncio.create_task(carry_out_late(runner, *late))
    await asyncio.gather(work(runner), report(runner))


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "agent", "service", "zone", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--heartbeat-ms", type=int, required=True)
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--late-call", default="")
    parser.add_argument("--first-report-s", type=float, default=0.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
