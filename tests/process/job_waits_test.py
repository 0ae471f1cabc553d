"""scripts/job-waits finds in entries' logs how long jobs had nothing running."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from harness import ROOT

JOB = "899e8d2b243911d1"
OTHER = "1d2250de5af52c0c"


def line(second, text, job=JOB, part="job"):
    return json.dumps({"part": part, "time": f"2026-01-01T00:00:{second:09.6f}Z",
                       "message": f"job {job} at 100 ms of 2500: {text}"})


def waits(second, waited_ms, job=JOB, step="0.1", omitted=0):
    left_out = f"; {omitted} lines of other waits left out" if omitted else ""
    return line(second, f"nothing has run for {waited_ms} ms: step {step} waits in pool examdesk, "
                        "shard 1, with 3 tasks of 38000/64000/0 (thousandths of a "
                        "core/MB/accelerators); of 9 of its service, 2 can't be used, 0 lack its "
                        "label, 0 have as many tasks of the step as may be, 7 lack capacity"
                        f"{left_out}", job)


def runs(second, waited_ms, job=JOB):
    return line(second, f"runs after {waited_ms} ms without a run in pool examdesk, shard 1: "
                        f"{job}.0.1.0 attempt 1001 on i-4f7086a669", job)


class JobWaitsTest(unittest.TestCase):
    def run_script(self, *lines, options=()):
        return subprocess.run([sys.executable, ROOT / "scripts/job-waits", *options],
                              input="\n".join(lines), capture_output=True, text=True, check=False)

    def check(self, lines, longest, count=1):
        result = self.run_script(*lines)
        self.assertIn(f"{count} waits: max {longest:.2f} s", result.stdout)
        self.assertEqual(result.returncode, 0)
        return result.stdout

    def test_a_wait_is_printed_with_its_place_and_time(self):
        found = self.check([line(1, "first start on i-1"), waits(5, 2000), runs(9, 6000)], 6)
        self.assertIn(f"6.00 s  {JOB} step 0.1  pool examdesk, shard 1  from 2.00 s to 8.00 s",
                      found)

    def test_lines_of_several_entries_needn_t_be_in_order(self):
        self.check([runs(9, 6000), "not JSON", "front-2 " + waits(5, 2000)], 6)

    def test_a_wait_that_goes_on_under_the_next_leader_counts_from_its_begin(self):
        self.check([waits(3, 2000), waits(9, 2000), runs(10, 3000)], 9)

    def test_a_job_that_still_waits_at_the_end_of_the_log_counts(self):
        found = self.check([waits(3, 2000), line(20, "completed", OTHER)], 19)
        self.assertIn("to the end", found)

    def test_a_wait_of_which_only_the_end_is_logged_counts(self):
        self.check([runs(9, 6500)], 6.5)

    def test_a_first_start_by_a_later_leader_ends_a_wait(self):
        self.check([waits(3, 2000), line(5, "first start on i-1"), line(30, "completed")], 4)

    def test_a_start_that_is_confirmed_later_is_the_end_of_one_wait(self):
        self.check([waits(3, 2000), line(5, "first start on i-1"), runs(5.04, 4040),
                    line(30, "completed")], 4.04)

    def test_a_start_that_came_to_nothing_doesn_t_end_a_wait(self):
        self.check([waits(3, 2000), line(5, "first start on i-1"), runs(9, 8000)], 8)

    def test_a_wait_after_a_first_start_is_another_wait(self):
        self.check([waits(3, 2000), line(5, "first start on i-1"), waits(20, 2000),
                    runs(21, 3000)], 4, count=2)

    def test_a_cancelled_job_waits_no_longer(self):
        self.check([waits(3, 2000), line(5, "cancelled"), line(30, "completed", OTHER)], 4)

    def test_a_run_whose_start_nobody_logged_doesn_t_count_as_waiting(self):
        ended = line(20, f"{JOB}.0.1.0 attempt 2001 on i-1 ended as failed")
        self.check([waits(3, 2000), ended, line(30, "completed")], 2)
        self.check([waits(3, 2000), line(30, "completed")], 2)

    def test_a_job_may_wait_more_than_once(self):
        found = self.check([waits(3, 2000, step="0.0"), runs(4, 3000), waits(12, 2000),
                            runs(15, 5000)], 5, count=2)
        self.assertIn("p99 5.00 s, p50 5.00 s", found)
        self.assertIn(f"3.00 s  {JOB} step 0.0", found)

    def test_lines_that_leaders_left_out_are_counted(self):
        found = self.check([waits(3, 2000, omitted=4), waits(3, 2000, OTHER, omitted=3),
                            runs(4, 3000), runs(4, 3000, OTHER)], 3, count=2)
        self.assertIn("; 7 lines left out", found)

    def test_waits_of_long_running_tasks_don_t_count(self):
        task = f"{JOB}.0.0.0"
        result = self.run_script(
            line(3, f"{task} has waited 2000 ms for a worker; of 3 of its service, 2 can't be used"),
            line(9, f"{task} attempt 2 started again on w2 after 8000 ms"))
        self.assertIn("no job waited", result.stdout)

    def test_a_wait_over_the_limit_fails(self):
        lines = [waits(3, 2000), runs(6, 5000)]
        self.assertEqual(self.run_script(*lines, options=["--limit", "5"]).returncode, 0)
        self.assertEqual(self.run_script(*lines, options=["--limit", "4.9"]).returncode, 1)

    def test_several_runs_are_compared_by_their_longest_waits(self):
        with tempfile.TemporaryDirectory() as folder:
            files = [pathlib.Path(folder) / name for name in ("a", "b", "c")]
            files[0].write_text(waits(3, 2000) + "\n" + runs(6, 5000), encoding="utf-8")
            files[1].write_text(waits(3, 2000) + "\n" + runs(9, 8000), encoding="utf-8")
            files[2].write_text(line(1, "completed"), encoding="utf-8")
            result = self.run_script(options=["--each", *files])
        self.assertIn(f"{files[0]}: 1 waits: max 5.00 s", result.stdout)
        self.assertIn("the longest wait of each of 3 runs: max 8.00 s, p99 8.00 s, p50 5.00 s",
                      result.stdout)
        self.assertIn("all 2 waits: max 8.00 s", result.stdout)


if __name__ == "__main__":
    unittest.main()
