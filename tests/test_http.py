import asyncio
import json
import pathlib
import time
import unittest

import falcon.inspect
import yaml
from falcon import testing

from comfreysill.dispatch.state import Dispatcher
from comfreysill.entry.administration import add_routes
from comfreysill.entry.http import build_app
from comfreysill.entry.keeper import Keeper
from comfreysill.metrics import Metrics, observe_seconds

OPENAPI = pathlib.Path(__file__).parent.parent / "docs" / "openapi.yaml"
METHODS = {"get", "put", "post", "delete", "patch"}
PATH = "/v1/teams/t/jobs/j"
GOOD = {
    "class": "urgent",
    "deadline": 2_000_000_000,
    "service": "s",
    "tasks": [{"payload": "x", "run_time": 0.1}],
}


def build():
    keeper = Keeper(dispatcher=Dispatcher(name="e@1"), read_roster=lambda: None)
    metrics = Metrics(role="entry")
    app = build_app(keeper, metrics)
    add_routes(app, keeper, None, asyncio.Event())
    return app, keeper, metrics


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.app, self.keeper, self.metrics = build()
        self.client = testing.TestClient(self.app)

    def put(self, body, path=PATH):
        return self.client.simulate_put(path, body=body)

    def test_routes_are_those_of_the_description(self):
        described = {
            (path, method.upper())
            for path, item in yaml.safe_load(OPENAPI.read_text())["paths"].items()
            for method in item
            if method in METHODS
        }
        routed = {
            (route.path, method.method)
            for route in falcon.inspect.inspect_routes(self.app)
            for method in route.methods
            if not method.internal
        }
        self.assertEqual(routed, described)

    def test_bad_submissions_start_nothing_and_name_the_place(self):
        cases = {
            "": "JSON",
            "[]": "object",
            "{}": "class",
            json.dumps(GOOD | {"class": "king"}): "class",
            json.dumps(GOOD | {"tasks": []}): "tasks",
            json.dumps(GOOD | {"color": 1}): "color",
            json.dumps(GOOD | {"tasks": [{"payload": 1}]}): "tasks[0].payload",
            json.dumps(GOOD | {"tasks": [{"payload": "", "run_time": -1}]}): "run_time",
            json.dumps(GOOD | {"deadline": "soon"}): "deadline",
            json.dumps(GOOD | {"service": "../x"}): "service",
        }
        for body, place in cases.items():
            answer = self.put(body)
            self.assertEqual(answer.status_code, 422, body)
            self.assertIn(place, answer.json["detail"])
            self.assertEqual(answer.json["verdict"], "not run")
        self.assertTrue(self.keeper.inbox.is_empty())

    def test_bad_names_are_refused(self):
        for path in ("/v1/teams/-t/jobs/j", "/v1/teams/t/jobs/" + "j" * 64):
            self.assertEqual(self.put(json.dumps(GOOD), path).status_code, 422)
        self.assertTrue(self.keeper.inbox.is_empty())

    def test_unknown_job_is_not_found(self):
        self.assertEqual(self.client.simulate_get(PATH).status_code, 404)

    def test_entry_without_floor_or_targets_is_not_ready(self):
        self.assertEqual(self.client.simulate_get("/ready").status_code, 503)
        self.assertEqual(self.client.simulate_get("/health").status_code, 200)

    def test_metrics_hold_histograms_by_team_and_class(self):
        observe_seconds(self.metrics, "job_seconds", 0.2, "t", "urgent")
        self.keeper.dispatcher.counters["jobs_accepted"] = 3
        text = self.client.simulate_get("/metrics").text
        self.assertIn('comfreysill_job_seconds_bucket{class="urgent",le="0.25",team="t"} 1', text)
        self.assertIn('event="jobs_accepted"', text)

    def test_bad_floor_change_lists_all_errors(self):
        change = {"previous": 0, "change_id": "change-1", "author": "x"}
        document = {"schema": 2, "zones": [], "services": [], "teams": [], "color": 1}
        answer = self.client.simulate_put("/admin/v1/floor", json=change | {"document": document})
        self.assertEqual(answer.status_code, 422)
        paths = {problem["path"] for problem in answer.json["problems"]}
        self.assertEqual(paths, {"schema", "zones", "services", "teams", "color"})


class DocumentsTest(unittest.TestCase):
    def test_spacing_does_not_change_the_digest_but_the_deadline_does(self):
        from comfreysill.entry.documents import parse_submission

        first = parse_submission("t", "j", json.dumps(GOOD).encode()).ok_value
        spaced = parse_submission("t", "j", json.dumps(GOOD, indent=3).encode()).ok_value
        other = parse_submission(
            "t", "j", json.dumps(GOOD | {"deadline": time.time()}).encode()
        ).ok_value
        self.assertEqual(first.digest, spaced.digest)
        self.assertNotEqual(first.digest, other.digest)
