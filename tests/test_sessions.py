"""The sessions of both agents' gRPC services, with a stream of their messages."""

import unittest

from grpclib.exceptions import GRPCError

from comfreysill.agent.links import AgentService
from comfreysill.agent.messages import SessionClosed as LedgerSessionClosed
from comfreysill.mailbox import Mailbox
from comfreysill.sidecar.links import TargetService
from comfreysill.sidecar.messages import SessionClosed
from comfreysill.wire import comfreysill_pb2, exchange_pb2


class StubStream:
    """A stream that delivers messages, and then ends."""

    def __init__(self, messages):
        self.messages = messages

    async def __aiter__(self):
        for message in self.messages:
            yield message


class TestSessions(unittest.IsolatedAsyncioTestCase):
    async def play(self, serve, inbox, message):
        """Returns the messages to the state task of a session with one frame."""
        with self.assertRaises(GRPCError):
            await serve(StubStream([message]))
        return await inbox.get_batch()

    # Guards against a service that ends each of its sessions before the first frame.
    async def test_each_service_posts_the_frames_and_the_end_of_a_session(self):
        inbox = Mailbox()
        frame = exchange_pb2.ToAgent(entry="e@1", session=1, number=1)
        received, closed = await self.play(TargetService(inbox=inbox).Serve, inbox, frame)
        self.assertEqual(received.frame.entry, "e@1")
        self.assertIsInstance(closed, SessionClosed)
        self.assertIs(closed.outbox, received.outbox)

        inbox = Mailbox()
        frame = comfreysill_pb2.EntryFrame(entry="e@1", session=1, sequence=1)
        received, closed = await self.play(AgentService(inbox=inbox).Work, inbox, frame)
        self.assertEqual(received.frame.entry, "e@1")
        self.assertIsInstance(closed, LedgerSessionClosed)


if __name__ == "__main__":
    unittest.main()
