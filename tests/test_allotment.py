"""Memory for the open requests of an entry: what is refused, and when it is free again."""

import math
import unittest

from comfreysill.placement.allotment import (
    RESERVED_SHARE,
    TASK_BYTES,
    build_allotment,
    has_memory,
    measure_request,
)
from comfreysill.placement.effects import SendVerdict
from comfreysill.placement.requests import disconnect_caller, submit_request
from comfreysill.placement.state import EntryState
from comfreysill.request.types import CallerWait, Specification, Step, Verdict

MEMORY_BYTES = 100 << 20


def build_specification(request_id, tasks):
    return Specification(
        request_id=request_id,
        route="r",
        service="s",
        payload="",
        steps=(Step(count=tasks, cpu=1, memory_mb=0, estimate=0.1),),
        priority=0,
        max_attempts=2,
        stretch=1.5,
        slack_seconds=0.1,
    )


class TestAllotment(unittest.TestCase):
    def setUp(self):
        self.state = EntryState(name="entry-0@1", zone="z", unix_offset=0.0)
        self.state.allotment = build_allotment(MEMORY_BYTES)

    def submit(self, caller, tasks):
        wait = CallerWait(sent_after=0.0, read_at=0.0, ends_at=math.inf)
        specification = build_specification(f"job-{caller}", tasks)
        submit_request(self.state, caller, specification, 0.0, wait)

    def list_refused(self):
        verdicts = [effect for effect in self.state.effects if isinstance(effect, SendVerdict)]
        self.assertEqual({effect.verdict for effect in verdicts} - {Verdict.NOT_RUN}, set())
        return [effect.caller for effect in verdicts]

    # Guards against an entry whose memory is filled by small bodies that ask for many tasks.
    def test_large_requests_are_refused_at_once_and_leave_memory_to_small_ones(self):
        for caller in range(100):
            self.submit(caller, 2_000)
        refused = self.list_refused()
        self.assertEqual(refused, list(range(len(self.state.requests), 100)))
        limit = self.state.allotment.max_bytes
        self.assertLess(self.state.allotment.used_bytes, limit * (1 - RESERVED_SHARE))
        self.submit(100, 8)
        self.assertNotIn(100, self.list_refused())

    def test_memory_is_free_again_once_requests_have_ended(self):
        for caller in range(100):
            self.submit(caller, 2_000)
        for caller in range(100):
            disconnect_caller(self.state, caller, 1.0)
        self.assertEqual(self.state.allotment.used_bytes, 0)

    def test_small_requests_are_refused_once_nothing_is_left(self):
        tasks = 10
        size = measure_request(build_specification("job-0", tasks))
        for caller in range(math.ceil(self.state.allotment.max_bytes / size) + 1):
            self.submit(caller, tasks)
        self.assertEqual(len(self.list_refused()), 2)

    def test_the_largest_job_fits_the_smallest_machine_many_times(self):
        largest = build_specification("job-0", 970)
        allotment = build_allotment(160 << 20)
        self.assertTrue(has_memory(allotment, largest))
        self.assertGreater(allotment.max_bytes / measure_request(largest), 50)

    def test_there_is_no_limit_where_the_memory_is_unknown(self):
        allotment = build_allotment(0)
        allotment.used_bytes = TASK_BYTES << 40
        self.assertTrue(has_memory(allotment, build_specification("job-0", 2_000)))


if __name__ == "__main__":
    unittest.main()
