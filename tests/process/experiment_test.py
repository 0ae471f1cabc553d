"""scripts/experiment compares variants in pairs, and continues an interrupted experiment."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from harness import ROOT

PLAN = """
command = [{python}, "play.py", "{{load}}", "{{day}}", "{{seed}}"]
pattern = '^worth (?P<worth>[\\d.]+)'
[variants]
before = {before}
after = {after}
[[plays]]
load = "small"
days = ["calm"]
seeds = [1, 2, 3]
"""


class ExperimentTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="plantaindoor-test-"))
        self.plan = self.folder / "plan.toml"
        self.results = self.folder / "plan.jsonl"
        for variant, gain in (("before", 0), ("after", 0.5)):
            (self.folder / variant).mkdir()
            self.write_play(variant, f"print('worth', int(sys.argv[3]) + {gain})")
        self.plan.write_text(PLAN.format(
            python=json.dumps(sys.executable), before=json.dumps(str(self.folder / "before")),
            after=json.dumps(str(self.folder / "after"))))

    def write_play(self, variant, line):
        (self.folder / variant / "play.py").write_text(f"import sys\n{line}\n")

    def run_experiment(self):
        return subprocess.run([sys.executable, ROOT / "scripts/experiment", self.plan],
                              capture_output=True, text=True, check=False)

    def test_difference_of_pairs_is_free_of_the_spread_between_seeds(self):
        done = self.run_experiment()
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("| before | 3 | 2.000 ± 0.577 |", done.stdout)
        self.assertIn("| after | 3 | 2.500 ± 0.577 | 0.500 ± 0.000 |", done.stdout)

    def test_failed_play_is_reported_and_only_that_one_is_repeated(self):
        self.write_play("after", "print('worth', sys.argv[3]) if sys.argv[3] != '2' else None")
        done = self.run_experiment()
        self.assertEqual(done.returncode, 1)
        self.assertIn("('after', 'small', 'calm', 2) failed", done.stderr)
        self.assertIn("| after | 2 |", done.stdout)
        self.write_play("after", "print('worth', 9)")
        done = self.run_experiment()
        self.assertEqual(done.returncode, 0, done.stderr)
        lines = self.results.read_text(encoding="utf-8").splitlines()
        self.assertEqual(sum(1 for line in lines if "measures" in json.loads(line)), 6)
        self.assertIn("| after | 3 |", done.stdout)


if __name__ == "__main__":
    unittest.main()
