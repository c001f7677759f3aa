"""Stand-in for a user's runner that sleeps in place of each task and logs every start.

A payload is JSON: `{"seconds": 0.1}`, the time to sleep before the factor of the runner's slowness,
with `"fail": true` for a task that has to fail afterwards.
"""

import argparse
import asyncio
import json
import pathlib
import signal
import time

import aiohttp
import falcon
import falcon.asgi
import uvicorn

REGISTRATION_INTERVAL_SECONDS = 1.0


class Runner:
    """State of a runner.

    Attributes:
        name: Name of the runner.
        slots: Maximum number of concurrent tasks; more are refused as not run.
        slowness: Factor on the run time of each task.
        log: File to which each start is written.
        running: Number of running tasks.
        fail_all: True while every task fails: new ones at once, running ones at their end.
    """

    __slots__ = ("name", "slots", "slowness", "log", "running", "fail_all")

    def __init__(self, *, name: str, slots: int, slowness: float, log: pathlib.Path) -> None:
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.log = log.open("a", buffering=1)
        self.running = 0
        self.fail_all = False


class RunResource:
    """HTTP endpoint that runs tasks."""

    def __init__(self, *, runner: Runner) -> None:
        self.runner = runner

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Runs one task."""
        runner = self.runner
        if runner.running >= runner.slots:
            response.status = falcon.HTTP_503
            response.set_header("Comfreysill-Verdict", "not-run")
            return
        names = ("Team", "Job", "Task", "Attempt")
        values = [request.get_header(f"Comfreysill-{name}") for name in names]
        payload = json.loads(await request.stream.read())
        runner.log.write(json.dumps([time.time(), *values, payload["seconds"]]) + "\n")
        runner.running += 1
        try:
            if not runner.fail_all:
                await asyncio.sleep(payload["seconds"] * runner.slowness)
        finally:
            runner.running -= 1
        if payload.get("fail") or runner.fail_all:
            response.status = falcon.HTTP_500
            response.text = "the task failed"
            return
        response.text = json.dumps({"job": values[1], "task": int(values[2])})


class FaultResource:
    """HTTP endpoint of the fault injection options."""

    def __init__(self, *, runner: Runner) -> None:
        self.runner = runner

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Switches the failure of every task on or off."""
        self.runner.fail_all = (await request.get_media())["fail_all"]
        response.status = falcon.HTTP_204


async def _register_periodically(
    runner: Runner, port: int, agent: str, services: list[str]
) -> None:
    document = {"host": "127.0.0.1", "port": port, "slots": runner.slots, "services": services}
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.put(f"http://{agent}/v1/runner", json=document):
                    pass
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)


async def _deregister(agent: str) -> None:
    async with aiohttp.ClientSession() as session:
        url = f"http://{agent}/v1/runner"
        try:
            await session.delete(url)
            while True:
                async with session.get(url) as answer:
                    load = await answer.json()
                if not load["running"] and not load["queued"]:
                    return
                await asyncio.sleep(0.05)
        except (aiohttp.ClientError, OSError):
            return


async def run(arguments: argparse.Namespace) -> None:
    """Serves tasks until SIGTERM, then deregisters and exits.

    Exits once the agent reports no running or queued task, or can't be reached.
    """
    runner = Runner(
        name=arguments.name,
        slots=arguments.slots,
        slowness=arguments.slowness,
        log=pathlib.Path(arguments.log),
    )
    app = falcon.asgi.App()
    app.add_route("/run", RunResource(runner=runner))
    app.add_route("/faults", FaultResource(runner=runner))
    config = uvicorn.Config(
        app, host="127.0.0.1", port=arguments.port, log_level="warning", lifespan="off", ws="none"
    )
    server = uvicorn.Server(config)
    server.capture_signals = _NoSignalCapture
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    serving = asyncio.create_task(server.serve())
    services = arguments.services.split(",")
    registering = asyncio.create_task(
        _register_periodically(runner, arguments.port, arguments.agent, services)
    )
    await stop.wait()
    registering.cancel()
    await _deregister(arguments.agent)
    server.should_exit = True
    await serving


class _NoSignalCapture:
    """Keeps uvicorn from handling SIGTERM, which has to deregister the runner first."""

    def __enter__(self) -> None:
        return None

    def __exit__(self, *details: object) -> None:
        return None


def main() -> None:
    """Runs a stand-in for a user's runner."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--agent", required=True, help="host:port of the agent")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--slowness", type=float, default=1.0)
    parser.add_argument("--services", default="catalogue")
    parser.add_argument("--log", required=True, help="file for the log of starts")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
