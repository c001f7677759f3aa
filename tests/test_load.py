import pathlib
import unittest

from comfreysill.load.arrivals import draw_arrivals
from comfreysill.load.driver import Sample
from comfreysill.load.experiment import find_ideal, read_experiment
from comfreysill.load.summary import summarize

EXPERIMENTS = pathlib.Path(__file__).parent.parent / "experiments"


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.experiment = read_experiment(EXPERIMENTS / "seventy.yaml")

    def test_all_experiments_are_valid(self):
        for path in EXPERIMENTS.glob("*.yaml"):
            self.assertEqual(read_experiment(path).name, path.stem)

    def test_same_seed_draws_the_same_arrivals(self):
        first, second = draw_arrivals(self.experiment), draw_arrivals(self.experiment)
        self.assertEqual([a.at for a in first], [a.at for a in second])
        self.assertEqual([a.seconds for a in first], [a.seconds for a in second])

    def test_offered_work_is_near_the_load(self):
        self.experiment.document["seconds"] = 2000
        work = sum(sum(arrival.seconds) for arrival in draw_arrivals(self.experiment))
        share = work / 2000 / self.experiment.capacity
        self.assertAlmostEqual(share, 0.7, delta=0.05)

    def test_ideal_uses_the_fastest_target_and_all_slots(self):
        self.assertAlmostEqual(find_ideal(self.experiment, [1.0], 0.0), 0.5)
        capacity = self.experiment.capacity
        self.assertAlmostEqual(find_ideal(self.experiment, [1.0] * 900, 0.0), 900 / capacity)

    def test_summary_counts_partial_and_failed_answers(self):
        arrivals = draw_arrivals(self.experiment)[:3]
        samples = [Sample(arrival=arrival, job_id="j") for arrival in arrivals]
        for sample in samples:
            sample.status, sample.seconds = 200, 1.0
            sample.answer = {"results": ["x"] * len(sample.arrival.seconds)}
        samples[0].answer["results"].append("y")
        samples[1].status, samples[1].answer = 429, {"title": "queue full", "verdict": "not run"}
        summary = summarize(self.experiment, samples, 0.001)
        self.assertEqual((summary["partial"], summary["complete"]), (1, 2))
        self.assertEqual(summary["failures"], {"queue full (not run)": 1})
