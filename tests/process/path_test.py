"""The request path with separate processes: every request gets one correct answer."""
import signal
import unittest

from harness import Cluster, Load, call, judge, wait_for


class PathTest(unittest.TestCase):
    def test_request_passes_from_caller_to_target_and_back(self):
        with Cluster(targets=2, entries=2) as cluster:
            cluster.wait_version(cluster.apply())
            for entry in cluster.entries:
                answer = cluster.request(entry, b"some words")
                self.assertEqual((answer.status, answer.outcome), (200, "answered"))
                self.assertEqual(answer.json()["body_bytes"], len(b"some words"))
                self.assertEqual(cluster.runs()[answer.request_id], 1)

    def test_bad_input_is_typed_and_not_run(self):
        with Cluster(targets=1, entries=1) as cluster:
            cluster.wait_version(cluster.apply())
            cases = [("/nothing/x", {}, b"", 404, "unknown-service"),
                     ("/spell/x", {"Plantaindoor-Priority": "now"}, b"", 400, "malformed-header"),
                     ("/spell/x", {}, b"x" * (2 << 20), 413, "body-too-large")]
            for path, headers, body, status, kind in cases:
                answer = call(cluster.callers_address("e1"), "POST", path, body, headers)
                self.assertEqual((answer.status, answer.outcome), (status, "not-run"))
                self.assertEqual(answer.json()["type"], kind)
            self.assertEqual(sum(cluster.runs().values()), 0)

    def test_killed_entry_loses_and_doubles_nothing(self):
        with Cluster(targets=4, entries=3, service_ms=20) as cluster:
            cluster.wait_version(cluster.apply())
            load = Load(cluster, list(cluster.entries), callers=6)
            wait_for("load under way", lambda: load.count() > 100)
            cluster.entries["e2"].end(signal.SIGKILL)
            seen = load.count()
            wait_for("load after the kill", lambda: load.count() > seen + 100)
            verdict = judge(load.stop(), cluster.runs())
            self.assertGreater(verdict.answered, 200)
            self.assertEqual(verdict[4:], (0, 0, 0, 0), verdict)

    def test_terminated_entry_finishes_requests_in_progress(self):
        with Cluster(targets=2, entries=2, service_ms=50) as cluster:
            cluster.wait_version(cluster.apply())
            load = Load(cluster, ["e1"], callers=4)
            wait_for("load under way", lambda: load.count() > 20)
            cluster.entries["e1"].send_signal(signal.SIGTERM)
            wait_for("not ready",
                     lambda: call(cluster.callers_address("e1"), "GET", "/ready").status != 200)
            self.assertEqual(cluster.entries["e1"].child.wait(60), 0)
            answers = load.stop()
            verdict = judge(answers, cluster.runs())
            self.assertEqual(verdict[4:], (0, 0, 0, 0), verdict)
            received = {a.request_id for _, a in answers if a.outcome == "answered"}
            self.assertEqual(set(cluster.runs()) - received, set())


if __name__ == "__main__":
    unittest.main()
