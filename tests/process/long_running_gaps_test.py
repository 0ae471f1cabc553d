"""scripts/long-running-gaps finds in entries' logs how long long-running tasks were without a run."""
import json
import subprocess
import sys
import unittest

from harness import ROOT

JOB = "899e8d2b243911d1"


def line(second, text, part="job"):
    return json.dumps({"part": part, "time": f"2026-01-01T00:00:{second:09.6f}Z",
                       "message": f"job {JOB} at 100 ms of 2500: {text}"})


def ended(second, task=0):
    return line(second, f"{JOB}.0.0.{task} attempt 1 on w1 ended as stopped")


def started(second, waited_ms, task=0, attempt=2):
    return line(second, f"{JOB}.0.0.{task} attempt {attempt} started again on w2 "
                        f"after {waited_ms} ms")


class LongRunningGapsTest(unittest.TestCase):
    def run_script(self, *lines):
        return subprocess.run([sys.executable, ROOT / "scripts/long-running-gaps"],
                              input="\n".join(lines), capture_output=True, text=True, check=False)

    def check(self, lines, longest, code):
        result = self.run_script(*lines)
        self.assertIn(f"longest {longest:.2f} s", result.stdout)
        self.assertEqual(result.returncode, code)

    def test_a_gap_lasts_from_the_end_of_a_run_to_the_next_start(self):
        self.check([ended(1), started(3.5, 2500)], 2.5, 0)

    def test_lines_of_several_entries_needn_t_be_in_order(self):
        self.check([started(9, 500), "not JSON", ended(1)], 8, 1)

    def test_a_run_that_a_new_leader_finds_ends_a_gap(self):
        found = line(4, f"{JOB}.0.0.0 attempt 1001 found running on w3")
        self.check(["front-1 " + ended(1), "front-2 " + found], 3, 0)

    def test_a_later_leader_that_finds_the_same_run_doesn_t_prolong_a_gap(self):
        found = line(20, f"{JOB}.0.0.0 attempt 2 found running on w2")
        self.check([ended(1), started(2, 1000), found], 1, 0)

    def test_an_earlier_end_that_is_logged_late_begins_no_gap(self):
        self.check([ended(1), started(2, 1000), ended(3), started(20, 0, task=1)], 1, 0)

    def test_a_start_that_came_to_nothing_ends_no_gap(self):
        self.check([ended(1), started(2, 1000), started(9, 8000, attempt=3)], 8, 1)

    def test_an_end_that_nobody_logged_is_known_from_the_wait(self):
        self.check([started(9, 6500)], 6.5, 1)

    def test_a_task_that_still_waits_at_the_end_of_the_log_counts(self):
        waits = line(3, f"{JOB}.0.0.0 has waited 2000 ms for a worker; of 3 of its service")
        self.check([waits], 2, 0)
        self.check([waits, ended(9, task=7), started(9, 0, task=7)], 8, 1)

    def test_a_job_that_is_over_waits_no_longer(self):
        result = self.run_script(ended(1), line(2, "cancelled"), started(30, 10, task=1))
        self.assertIn("1 gaps of 1 tasks", result.stdout)
        self.assertEqual(result.returncode, 0)

    def test_ends_of_other_tasks_don_t_count(self):
        result = self.run_script(ended(1), line(20, "completed"))
        self.assertIn("no long-running task was without a run", result.stdout)
        self.assertEqual(result.returncode, 0)


if __name__ == "__main__":
    unittest.main()
