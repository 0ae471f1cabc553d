"""A planned stop never cuts off a request, not even one whose caller was told that it is lost."""
import json
import threading
import unittest

from harness import Cluster, call, wait_for

LONGEST_WAVE_S = 180
LONGEST_REQUEST_MS = 20000
SERVICE_MS = 18000


class GracefulTest(unittest.TestCase):
    def test_request_that_was_given_up_is_not_cut_by_a_reboot(self):
        service = {"budget": {"minimum": 1}, "longest_request_ms": LONGEST_REQUEST_MS}
        with Cluster(targets=2, entries=2, service=service,
                     entry_settings={"timings": {"list_lag_ms": 1000}}) as cluster:
            cluster.wait_version(cluster.apply())
            # A first wave, so that the duty's holder has waited out what was before it.
            self.finish_wave(cluster, "m0")
            for name in cluster.targets:
                cluster.fault_target(name, service_ms=SERVICE_MS)
            given_up = self.give_up(cluster, 4)
            self.finish_wave(cluster, "m1")
            runs = cluster.runs()
            for answer in given_up:
                self.assertEqual((answer.status, answer.outcome), (504, "unknown"))
                self.assertEqual(runs[answer.request_id], 1)
            self.assertEqual(cluster.cut(), 0)

    @staticmethod
    def give_up(cluster, count):
        """Sends requests at once whose deadline is far shorter than their run."""
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(
            cluster.request("e1", headers={"Plantaindoor-Deadline-Ms": "300"})))
            for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def finish_wave(self, cluster, wave):
        at = cluster.operators_at("e1")
        started = call(at, "POST", "/v1/waves", json.dumps({"id": wave, "pools": ["checks"]}))
        self.assertEqual(started.status, 200, started.body)
        wait_for("wave finished", lambda: call(at, "GET", f"/v1/waves/{wave}").json()["state"]
                 == "finished", LONGEST_WAVE_S)


if __name__ == "__main__":
    unittest.main()
