import unittest

from comfreysill.job.types import JobKey, TaskClass
from comfreysill.partition.epoch import Epoch
from comfreysill.target import frame_handling, frames, results
from comfreysill.target import ledger as ledgers
from comfreysill.target import messages as m

KEY = JobKey(team="t", job_id="j")
NOW = 1000.0


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = ledgers.Ledger(agent="a", incarnation="a@1")
        self.ledger.slots = 2
        self.ledger.queue_limit = 2
        self.ledger.services = frozenset({"s"})
        self.sequences = {}

    def send(self, entry, *messages, session=1, sequence=None):
        key = (entry, session)
        if key not in self.sequences:
            ledgers.open_session(self.ledger, entry, session)
            self.sequences[key] = 0
        if sequence is None:
            self.sequences[key] += 1
            sequence = self.sequences[key]
        frame = frames.EntryFrame(
            entry=entry, session=session, sequence=sequence, floor_version=0, messages=messages
        )
        accepted = frame_handling.receive_frame(self.ledger, frame, NOW)
        outbox, self.ledger.outbox = self.ledger.outbox, []
        return accepted, [message for _, message in outbox]

    def build_claim(self, entry, epoch_number):
        epoch = Epoch(number=epoch_number, owner=entry)
        return m.Claim(claims=(m.PartitionClaim(partition=1, epoch=epoch),))

    def build_batch(self, entry, epoch_number, indexes=(0,), **changes):
        fields = {
            "key": KEY,
            "digest": b"d",
            "partition": 1,
            "epoch": Epoch(number=epoch_number, owner=entry),
            "authority_until": NOW + 5,
            "task_class": TaskClass.NORMAL,
            "deadline": NOW + 10,
            "expires_at": NOW + 40,
            "service": "s",
            "tasks": tuple(
                m.TaskStart(index=i, attempt=1, payload=b"", run_time=1.0, idempotent=False)
                for i in indexes
            ),
        }
        return m.StartBatch(**(fields | changes))

    def list_refusal_causes(self, messages):
        return [message.cause.name for message in messages if isinstance(message, m.Refused)]

    def test_lower_epoch_is_fenced(self):
        self.send("b", self.build_claim("b", 2))
        _, messages = self.send("a", self.build_claim("a", 1), self.build_batch("a", 1))
        self.assertIsInstance(messages[0], m.Fenced)
        self.assertEqual(self.list_refusal_causes(messages), ["FENCED"])
        self.assertEqual(self.ledger.started, [])

    def test_former_owner_is_notified_of_the_new_one(self):
        self.send("a", self.build_claim("a", 1))
        _, messages = self.send("b", self.build_claim("b", 2))
        self.assertEqual([type(message) for message in messages], [m.Fenced, m.Claimed])

    def test_repeated_start_is_ignored(self):
        self.send("a", self.build_claim("a", 1), self.build_batch("a", 1))
        self.send("a", self.build_batch("a", 1))
        self.assertEqual(len(self.ledger.started), 1)

    def test_duplicate_and_out_of_order_frames_are_dropped(self):
        self.send("a", self.build_claim("a", 1))
        accepted, _ = self.send("a", self.build_batch("a", 1), sequence=1)
        self.assertFalse(accepted)
        accepted, _ = self.send("a", self.build_batch("a", 1), sequence=3)
        self.assertFalse(accepted)
        self.assertEqual(self.ledger.started, [])

    def test_frame_of_an_older_session_is_dropped(self):
        self.send("a", self.build_claim("a", 1), session=1)
        self.send("a", self.build_claim("a", 1), session=2)
        accepted, _ = self.send("a", self.build_batch("a", 1), session=1)
        self.assertFalse(accepted)

    def test_claim_returns_records_of_the_former_owner(self):
        self.send("a", self.build_claim("a", 1), self.build_batch("a", 1))
        _, messages = self.send("b", self.build_claim("b", 2))
        records = [
            record
            for message in messages
            if isinstance(message, m.Claimed)
            for record in message.records
        ]
        self.assertEqual([record.outcome for record in records], [m.Outcome.STARTED])

    def test_start_after_the_authority_expired_is_refused(self):
        _, messages = self.send(
            "a", self.build_claim("a", 1), self.build_batch("a", 1, authority_until=NOW - 1)
        )
        self.assertEqual(self.list_refusal_causes(messages), ["STALE_AUTHORITY"])

    def test_start_after_the_deadline_is_refused(self):
        _, messages = self.send(
            "a", self.build_claim("a", 1), self.build_batch("a", 1, deadline=NOW)
        )
        self.assertEqual(self.list_refusal_causes(messages), ["EXPIRED"])

    def test_full_queue_refuses_excess_tasks(self):
        # Of six tasks two run in the slots and two are queued.
        _, messages = self.send("a", self.build_claim("a", 1), self.build_batch("a", 1, range(6)))
        self.assertEqual(len(self.ledger.started), 2)
        self.assertEqual(self.list_refusal_causes(messages), ["FULL"] * 2)

    def test_full_ledger_refuses_tasks(self):
        self.ledger.record_count = ledgers.RECORD_LIMIT
        _, messages = self.send("a", self.build_claim("a", 1), self.build_batch("a", 1))
        self.assertEqual(self.list_refusal_causes(messages), ["FULL"])

    def test_draining_returns_queued_tasks_and_refuses_new_ones(self):
        self.send("a", self.build_claim("a", 1), self.build_batch("a", 1, range(4)))
        ledgers.drain(self.ledger)
        causes = self.list_refusal_causes([message for _, message in self.ledger.outbox])
        self.assertEqual(causes, ["DRAINING"] * 2)
        self.ledger.outbox.clear()
        other_key = JobKey(team="t", job_id="k")
        _, messages = self.send("a", self.build_batch("a", 1, key=other_key))
        self.assertEqual(self.list_refusal_causes(messages), ["DRAINING"])
        self.assertEqual(len(self.ledger.started), 2)

    def test_urgent_task_starts_before_queued_ones(self):
        self.ledger.queue_limit = 3
        self.send("a", self.build_claim("a", 1), self.build_batch("a", 1, range(4)))
        urgent_key = JobKey(team="t", job_id="urgent")
        self.send("a", self.build_batch("a", 1, key=urgent_key, task_class=TaskClass.URGENT))
        first_record = self.ledger.started.pop(0)
        results.finish_record(self.ledger, first_record, m.Outcome.DONE, b"", 0.1, NOW)
        self.assertEqual(self.ledger.started[-1].batch.key, urgent_key)

    def test_expired_records_are_removed_unless_running(self):
        self.send("a", self.build_claim("a", 1), self.build_batch("a", 1, range(2)))
        done_record = self.ledger.started[0]
        results.finish_record(self.ledger, done_record, m.Outcome.DONE, b"x", 0.1, NOW)
        # The records expire at NOW + 40, but one of the two tasks is still running.
        ledgers.expire_records(self.ledger, NOW + 41)
        self.assertEqual(self.ledger.record_count, 2)
        results.finish_record(self.ledger, self.ledger.started[1], m.Outcome.DONE, b"", 0.1, NOW)
        ledgers.expire_records(self.ledger, NOW + 50)
        self.assertEqual((self.ledger.record_count, self.ledger.result_bytes), (0, 0))
