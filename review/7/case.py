"""A frozen entry, a kill of the other one that keeps its claims, and jobs that are sent again."""

import asyncio
import itertools
import pathlib
import signal
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from rig_2 import find_overlaps, run_case  # noqa: E402

JOBS = 4
# Clients that stay: four of ten leave.
STAYING = 6
STEPS = [{"count": 2, "cpu": 1000, "mem-mb": 64, "estimate-ms": 4000}]
SPEC = "4.0"
WAIT_S = 20.0
LEAVE_S = 0.8
RETRANSMIT_S = 1.3
FREEZE_S = 3.4


def choose_jobs():
    """Returns IDs whose claims are kept by edge-1 and edge-2: one in three IDs is such a one."""
    names = ("edge-1", "edge-2", "edge-3")
    jobs = []
    for number in itertools.count(1):
        job = f"{number:016x}"
        ranked = sorted(names, key=lambda name: zlib.crc32(f"{name} {job}".encode()))
        if set(ranked[:2]) == {"edge-1", "edge-2"}:
            jobs.append(job)
        if len(jobs) == JOBS:
            return jobs


async def play(rig, has_trouble):
    jobs = choose_jobs()
    first = [asyncio.create_task(rig.post_job("edge-1", job, STEPS, SPEC, WAIT_S)) for job in jobs]
    staying = [
        asyncio.create_task(rig.post_job("edge-3", f"f{number:015x}", STEPS, SPEC, WAIT_S))
        for number in range(1, STAYING + 1)
    ]
    await asyncio.sleep(0.3)
    if has_trouble:
        rig.note(f"edge-1 is frozen for {FREEZE_S} s")
        rig.processes["edge-1"].send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    if has_trouble:
        rig.note("edge-2 is killed and starts again")
        rig.kill("edge-2")
        rig.start_entry("edge-2")
    await asyncio.sleep(LEAVE_S - 0.5)
    rig.note("clients: leave edge-1")
    for call in first:
        call.cancel()
    await asyncio.sleep(RETRANSMIT_S)
    second = [asyncio.create_task(rig.post_job("edge-3", job, STEPS, SPEC, WAIT_S)) for job in jobs]
    await asyncio.sleep(FREEZE_S - (LEAVE_S - 0.3) - RETRANSMIT_S)
    if has_trouble:
        rig.note("edge-1 wakes")
        rig.processes["edge-1"].send_signal(signal.SIGCONT)
    await asyncio.gather(*second, *staying)
    rig.note_events()
    overlaps = find_overlaps(rig.read_events())
    if overlaps:
        one, other = overlaps[0]
        return False, (
            f"{other['task']} was started at {other['runner']} while it was at work at "
            f"{one['runner']} ({len(overlaps)} such starts)"
        )
    return True, "no task was at two runners at the same time"


run_case(play, __file__, entries=3, sides=8)
