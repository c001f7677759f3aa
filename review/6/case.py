"""A liveness report of another writer, with fields missing, while a job's tasks are at work."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig_2 import CONTROL, SERVICE, ZONE, find_overlaps, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 3000}]
SPEC = "3.0"
WAIT_S = 20.0


async def send_foreign_report(rig, number):
    """Sends a report without `version`, `slots`, `cold-left-ms`, `labels` and `clock-ms`."""
    report = {
        "service": SERVICE,
        "address": "127.0.0.1:9",
        "zone": ZONE,
        "state": "ready",
        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpus": 0},
        "born": int(time.time() * 1000),
        "seq": 1,
    }
    url = f"http://{rig.address(f'side-{number}', CONTROL)}/api/instances/x-other/heartbeat"
    async with rig.session.post(url, json=report) as answer:
        rig.note(f"report of x-other, fields missing, at side-{number}: {answer.status} {report}")


async def play(rig, has_trouble):
    first = asyncio.create_task(rig.post_job("edge-1", JOB, STEPS, SPEC, WAIT_S))
    await asyncio.sleep(1.0)
    busy = [event for event in rig.read_events(JOB) if event["what"] == "start"]
    number = int(busy[0]["runner"].partition("-")[2])
    if has_trouble:
        await send_foreign_report(rig, number)
    await first
    for later in range(3):
        await rig.post_job("edge-2", f"{later + 1:016x}", STEPS, "0.2", WAIT_S)
    rig.note_events()
    overlaps = find_overlaps(rig.read_events(JOB))
    if overlaps:
        one, other = overlaps[0]
        return False, (
            f"{other['task']} was started at {other['runner']} while it was at work at "
            f"{one['runner']} ({len(overlaps)} such starts)"
        )
    return True, "no task was at two runners at the same time"


run_case(play, __file__, entries=2, sides=3)
