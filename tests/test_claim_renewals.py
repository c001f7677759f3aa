"""Renewals of claims between entries that have taken the same request."""

import unittest

from tests.platform_world import World

# Frames between three entries in a second in which nothing happens.
MAX_FRAMES_PER_SECOND = 60


class TooManyFrames(Exception):
    """Ends a play that would go on without end."""


class TestClaimRenewals(unittest.TestCase):
    # Guards against two entries that tell each other for ever that their callers wait some
    # milliseconds longer.
    def test_two_entries_that_have_taken_a_request_while_cut_off(self):
        for request_id in ("r0", "r1", "r2", "r3", "r4", "r5"):
            frames = self.count_frames(request_id)
            self.assertLess(max(frames), MAX_FRAMES_PER_SECOND, f"{request_id}: {frames}")

    def count_frames(self, request_id):
        """Returns the number of frames in each of the seconds around the end of a cut."""
        world = World(0, entries=3, agents=4)
        world.run(2.0)
        sent = []
        send_to_peer = world.send_to_peer

        def send(*arguments):
            sent.append(world.now)
            if len(sent) > 1000:
                raise TooManyFrames(f"{request_id}: 1,000 frames until {world.now:.3f}")
            send_to_peer(*arguments)

        world.send_to_peer = send
        for other in ("e1", "e2"):
            world.cut("e0", other, 3.0)
            world.cut(other, "e0", 3.0)
        world.run(1.5)
        world.submit(request_id, "e1", tasks=2, seconds=2.0, cpu=500, wait=8.0, steps=3)
        world.run(0.1)
        world.send_request(request_id, "e0")
        started_at = world.now
        world.run(6.0)
        counts = [0] * 6
        for at in sent:
            if at >= started_at:
                counts[min(5, int(at - started_at))] += 1
        return counts
