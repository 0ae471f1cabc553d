"""A planned stop never cuts off a request, even if its caller has received the outcome unknown."""
import json
import threading
import unittest

from harness import Cluster, call, wait_for

MAX_WAVE_S = 180
MAX_REQUEST_MS = 20000
SERVICE_MS = 18000


class GracefulTest(unittest.TestCase):
    def test_timed_out_request_is_not_cut_off_by_a_reboot(self):
        service = {"budget": {"minimum": 1}, "longest_request_ms": MAX_REQUEST_MS}
        with Cluster(targets=2, entries=2, service=service,
                     entry_settings={"timings": {"list_lag_ms": 1000}}) as cluster:
            cluster.wait_version(cluster.apply())
            # A first wave, so that the leader has waited out whatever preceded its leadership.
            self.finish_wave(cluster, "m0")
            for name in cluster.targets:
                cluster.fault_target(name, service_ms=SERVICE_MS)
            timed_out = self.send_until_timeout(cluster, 4)
            self.finish_wave(cluster, "m1")
            runs = cluster.runs()
            for answer in timed_out:
                self.assertEqual((answer.status, answer.outcome), (504, "unknown"))
                self.assertEqual(runs[answer.request_id], 1)
            self.assertEqual(cluster.cut(), 0)

    @staticmethod
    def send_until_timeout(cluster, count):
        """Sends concurrent requests with a deadline far shorter than their run."""
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
        at = cluster.operators_address("e1")
        started = call(at, "POST", "/v1/waves", json.dumps({"id": wave, "pools": ["checks"]}))
        self.assertEqual(started.status, 200, started.body)
        wait_for("wave finished", lambda: call(at, "GET", f"/v1/waves/{wave}").json()["state"]
                 == "finished", MAX_WAVE_S)


if __name__ == "__main__":
    unittest.main()
