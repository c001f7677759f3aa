"""The page of metrics: it is rendered again after a time, not for each request."""

import asyncio
import unittest

from comfreysill.metrics import Metrics
from comfreysill.metrics_app import PAGE_SECONDS, build_metrics_app


class TestMetricsPage(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.rendered = 0
        self.app = build_metrics_app(
            Metrics(role="entry"), self.get_counters, dict, lambda: self.now
        )

    def get_counters(self):
        self.rendered += 1
        return {"rendered": self.rendered}

    def fetch(self):
        messages = []

        async def send(message):
            messages.append(message)

        asyncio.run(self.app({"type": "http"}, None, send))
        start, body = messages
        self.assertEqual(dict(start["headers"])[b"content-length"], b"%d" % len(body["body"]))
        return body["body"]

    # Guards against a process that does nothing but render for clients that ask again and again.
    def test_requests_within_a_second_get_the_same_page(self):
        first = self.fetch()
        self.now += PAGE_SECONDS * 0.9
        self.assertEqual(self.fetch(), first)
        self.assertEqual(self.rendered, 1)
        self.now += PAGE_SECONDS * 0.1
        self.assertIn(b'event="rendered",role="entry"} 2', self.fetch())


if __name__ == "__main__":
    unittest.main()
