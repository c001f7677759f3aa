import pathlib
import unittest

from comfreysill.load.arrivals import draw_arrivals
from comfreysill.load.driver import Sample
from comfreysill.load.experiment import compute_ideal_time, read_experiment
from comfreysill.load.summary import summarize

EXPERIMENTS = pathlib.Path(__file__).parent.parent / "experiments"


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.experiment = read_experiment(EXPERIMENTS / "seventy.yaml")

    def test_all_experiments_are_valid(self):
        for path in EXPERIMENTS.glob("*.yaml"):
            self.assertEqual(read_experiment(path).name, path.stem)

    def test_same_seed_yields_same_arrivals(self):
        first, second = draw_arrivals(self.experiment), draw_arrivals(self.experiment)
        self.assertEqual([a.offset_seconds for a in first], [a.offset_seconds for a in second])
        self.assertEqual([a.run_times for a in first], [a.run_times for a in second])

    def test_offered_work_matches_configured_load(self):
        self.experiment.document["seconds"] = 2000
        work = sum(sum(arrival.run_times) for arrival in draw_arrivals(self.experiment))
        share = work / 2000 / self.experiment.capacity
        self.assertAlmostEqual(share, 0.7, delta=0.05)

    def test_ideal_time_uses_fastest_target_and_all_slots(self):
        self.assertAlmostEqual(compute_ideal_time(self.experiment, [1.0], 0.0), 0.5)
        capacity = self.experiment.capacity
        self.assertAlmostEqual(
            compute_ideal_time(self.experiment, [1.0] * 900, 0.0), 900 / capacity
        )

    def test_summary_counts_partial_and_failed_answers(self):
        arrivals = draw_arrivals(self.experiment)[:3]
        samples = [Sample(arrival=arrival, job_id="j") for arrival in arrivals]
        for sample in samples:
            sample.status, sample.response_seconds = 200, 1.0
            sample.answer = {"results": ["x"] * len(sample.arrival.run_times)}
        samples[0].answer["results"].append("y")
        samples[1].status, samples[1].answer = 429, {"title": "queue full", "verdict": "not run"}
        summary = summarize(self.experiment, samples, 0.001)
        self.assertEqual((summary["partial"], summary["complete"]), (1, 2))
        self.assertEqual(summary["failures"], {"queue full (not run)": 1})
