import asyncio
import unittest
from unittest import mock

from comfreysill.dispatch.state import Dispatcher
from comfreysill.entry import actor as entry_actor
from comfreysill.entry import links
from comfreysill.entry.messages import AgentDisconnected
from comfreysill.platform.registry import Roster
from comfreysill.target.view import Registration


def build_roster(revision, incarnation, port):
    registration = Registration(
        agent="a",
        incarnation=incarnation,
        host="127.0.0.1",
        port=port,
        zone="z",
        services=frozenset({"s"}),
        revision=revision,
    )
    return Roster(revision=revision, entries=(), agents=(registration,), lost_at=0.0)


class AgentLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sessions = []
        patch = mock.patch.object(links, "_serve_agent_link", self.serve)
        patch.start()
        self.addCleanup(patch.stop)
        self.actor = entry_actor.Actor(
            dispatcher=Dispatcher(name="e@1"), request_roster=lambda: None
        )

    async def asyncTearDown(self):
        await entry_actor.close_links(self.actor)

    async def serve(self, link, channel):
        self.sessions.append((link.session, link.address.port))
        await asyncio.Event().wait()

    async def apply_roster(self, *roster):
        entry_actor._update_links(self.actor, build_roster(*roster))
        await asyncio.sleep(0.01)

    # The session with a process went on after another one was registered in its place elsewhere.
    async def test_session_ends_once_the_agent_is_registered_at_another_address(self):
        await self.apply_roster(1, "a@1", 1001)
        await self.apply_roster(2, "a@2", 1002)
        self.assertEqual(self.sessions, [(1, 1001), (2, 1002)])
        ended = [m for m in await self.actor.inbox.get_batch() if isinstance(m, AgentDisconnected)]
        self.assertEqual([message.session for message in ended], [1])

    async def test_session_goes_on_while_the_address_stays(self):
        await self.apply_roster(1, "a@1", 1001)
        await self.apply_roster(2, "a@2", 1001)
        self.assertEqual(self.sessions, [(1, 1001)])
