"""Whom an agent announces itself to: few entries while the store works, all of them without it."""

import unittest

from comfreysill.sidecar.announcements import (
    CLOSED_SESSION_SECONDS,
    Announcements,
    choose_addresses,
    record_announcement,
)

ENTRIES = {f"e{number}:1" for number in range(35)}
SUBSET = {"e0:1", "e1:1", "e2:1", "e3:1"}


class TestAnnouncements(unittest.TestCase):
    def setUp(self):
        self.state = Announcements()

    def choose(self, linked, registered, now):
        return choose_addresses(self.state, ENTRIES, linked, registered, now)

    def test_herd_start_a_registered_agent_announces_itself_to_nobody(self):
        """With 160 agents and 35 entries, announcements to all would be 5,600 calls at once."""
        self.assertEqual(self.choose(set(), True, 1.0), [])

    def test_store_away_an_agent_announces_itself_to_all_known_entries_once(self):
        chosen = self.choose(SUBSET, False, 1.0)
        self.assertEqual(set(chosen), ENTRIES - SUBSET)
        for address in chosen:
            record_announcement(self.state, address, True, 1.0)
        self.assertEqual(self.choose(SUBSET, False, 2.0), [])

    def test_restarted_entry_hears_from_its_agents_again(self):
        self.choose(SUBSET, True, 1.0)
        self.assertEqual(self.choose(SUBSET - {"e0:1"}, True, 2.0), ["e0:1"])
        record_announcement(self.state, "e0:1", False, 2.0)
        self.assertEqual(self.choose(SUBSET - {"e0:1"}, True, 2.1), [])
        self.assertEqual(self.choose(SUBSET - {"e0:1"}, True, 3.0), ["e0:1"])
        self.assertEqual(self.choose(SUBSET - {"e0:1"}, True, 2.0 + CLOSED_SESSION_SECONDS), [])
