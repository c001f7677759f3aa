import asyncio
import json
import pathlib
import time
import unittest

import falcon.inspect
import yaml
from falcon import testing

from comfreysill.dispatch.state import Dispatcher
from comfreysill.entry.actor import Actor
from comfreysill.entry.administration import add_routes, check_floor
from comfreysill.entry.http import build_app
from comfreysill.floor.document import build_floor
from comfreysill.keys import hash_key, make_key, matches_any
from comfreysill.metrics import Metrics, observe_seconds
from comfreysill.platform.ingress import STATE_NAMES

OPENAPI = pathlib.Path(__file__).parent.parent / "docs" / "openapi.yaml"
PLATFORM_OPENAPI = OPENAPI.with_name("openapi-platform.yaml")
METHODS = {"get", "put", "post", "delete", "patch"}
JOB_PATH = "/v1/teams/t/jobs/j"
VALID_JOB = {
    "class": "urgent",
    "deadline": 2_000_000_000,
    "service": "s",
    "tasks": [{"payload": "x", "run_time": 0.1}],
}


def build_entry_app():
    actor = Actor(dispatcher=Dispatcher(name="e@1"), request_roster=lambda: None)
    metrics = Metrics(role="entry")
    app = build_app(actor, metrics)
    add_routes(app, actor, None, asyncio.Event())
    return app, actor, metrics


class HttpTest(unittest.TestCase):
    def setUp(self):
        self.app, self.actor, self.metrics = build_entry_app()
        self.client = testing.TestClient(self.app)

    def put(self, body, path=JOB_PATH):
        return self.client.simulate_put(path, body=body)

    def test_states_on_the_platform_match_their_openapi_description(self):
        (item,) = yaml.safe_load(PLATFORM_OPENAPI.read_text())["paths"].values()
        content = item["post"]["responses"]["200"]["content"]["application/json"]
        described = set(content["schema"]["properties"]["state"]["enum"])
        self.assertEqual(described, set(STATE_NAMES.values()))

    def test_routes_match_the_openapi_description(self):
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

    def test_invalid_submission_is_rejected_with_its_location(self):
        cases = {
            "": "JSON",
            "[]": "object",
            "{}": "class",
            json.dumps(VALID_JOB | {"class": "unknown"}): "class",
            json.dumps(VALID_JOB | {"tasks": []}): "tasks",
            json.dumps(VALID_JOB | {"color": 1}): "color",
            json.dumps(VALID_JOB | {"tasks": [{"payload": 1}]}): "tasks[0].payload",
            json.dumps(VALID_JOB | {"tasks": [{"payload": "", "run_time": -1}]}): "run_time",
            json.dumps(VALID_JOB | {"deadline": "soon"}): "deadline",
            json.dumps(VALID_JOB | {"service": "../x"}): "service",
        }
        for body, location in cases.items():
            response = self.put(body)
            self.assertEqual(response.status_code, 422, body)
            self.assertIn(location, response.json["detail"])
            self.assertEqual(response.json["verdict"], "not run")
        self.assertTrue(self.actor.inbox.is_empty())

    def test_invalid_names_are_rejected(self):
        for path in ("/v1/teams/-t/jobs/j", "/v1/teams/t/jobs/" + "j" * 64):
            self.assertEqual(self.put(json.dumps(VALID_JOB), path).status_code, 422)
        self.assertTrue(self.actor.inbox.is_empty())

    def test_unknown_job_is_not_found(self):
        self.assertEqual(self.client.simulate_get(JOB_PATH).status_code, 404)

    def test_entry_without_floor_or_targets_is_not_ready(self):
        self.assertEqual(self.client.simulate_get("/ready").status_code, 503)
        self.assertEqual(self.client.simulate_get("/health").status_code, 200)

    def test_metrics_include_histograms_by_team_and_class(self):
        observe_seconds(self.metrics, "job_seconds", 0.2, "t", "urgent")
        self.actor.dispatcher.counters["jobs_accepted"] = 3
        text = self.client.simulate_get("/metrics").text
        self.assertIn('comfreysill_job_seconds_bucket{class="urgent",le="0.25",team="t"} 1', text)
        self.assertIn('event="jobs_accepted"', text)

    def test_invalid_floor_change_lists_all_errors(self):
        change = {"previous": 0, "change_id": "change-1", "author": "x"}
        document = {"schema": 2, "zones": [], "services": [], "teams": [], "color": 1}
        response = self.client.simulate_put("/admin/v1/floor", json=change | {"document": document})
        self.assertEqual(response.status_code, 422)
        paths = {problem["path"] for problem in response.json["problems"]}
        self.assertEqual(paths, {"schema", "zones", "services", "teams", "color"})


class DocumentsTest(unittest.TestCase):
    def test_digest_ignores_whitespace_but_covers_the_deadline(self):
        from comfreysill.entry.documents import parse_submission

        first = parse_submission("t", "j", json.dumps(VALID_JOB).encode()).ok_value
        spaced = parse_submission("t", "j", json.dumps(VALID_JOB, indent=3).encode()).ok_value
        other_deadline = parse_submission(
            "t", "j", json.dumps(VALID_JOB | {"deadline": time.time()}).encode()
        ).ok_value
        self.assertEqual(first.digest, spaced.digest)
        self.assertNotEqual(first.digest, other_deadline.digest)


class AccessTest(unittest.TestCase):
    # A status of 404 means that access was granted: there are no jobs.
    def setUp(self):
        self.app, self.actor, _ = build_entry_app()
        self.client = testing.TestClient(self.app)
        self.team_key, self.other_key, self.admin_key = (make_key() for _ in range(3))
        document = {
            "schema": 1,
            "zones": ["a"],
            "services": [{"name": "s", "zones": ["a"]}],
            "teams": [
                {"name": "t", "keys": [hash_key("old"), hash_key(self.team_key)]},
                {"name": "u", "keys": [hash_key(self.other_key)]},
                {"name": "open"},
            ],
            "operators": [{"name": "ann", "keys": [hash_key(self.admin_key)]}],
        }
        self.assertEqual(check_floor(document), [])
        self.actor.dispatcher.floor = build_floor(1, document)

    def get_status(self, path, key=None):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return self.client.simulate_get(path, headers=headers).status_code

    def test_team_sees_only_its_own_jobs(self):
        self.assertEqual(self.get_status(JOB_PATH), 401)
        self.assertEqual(self.get_status(JOB_PATH, self.other_key), 401)
        self.assertEqual(self.get_status(JOB_PATH, self.team_key), 404)
        # A team can have several valid keys.
        self.assertEqual(self.get_status(JOB_PATH, "old"), 404)

    def test_operator_sees_everything_and_teams_no_administration(self):
        self.assertEqual(self.get_status(JOB_PATH, self.admin_key), 404)
        versions = "/admin/v1/floor/versions"
        self.assertEqual(self.get_status(versions, self.admin_key), 200)
        self.assertEqual(self.get_status(versions, self.team_key), 401)
        self.assertEqual(self.get_status("/v1/status"), 401)

    def test_open_team_and_health_need_no_key(self):
        self.assertEqual(self.get_status("/v1/teams/open/jobs/j"), 404)
        self.assertEqual(self.get_status("/health"), 200)

    def test_hashes_of_the_same_key_are_salted_differently(self):
        self.assertNotEqual(hash_key("k"), hash_key("k"))
        self.assertTrue(matches_any("k", [hash_key("x"), hash_key("k")]))
        self.assertFalse(matches_any("", [hash_key("k")]))
