"""Settings of the request path that take effect in a running entry."""
import threading
import unittest

import raw_target
from harness import wait_for
from raw_target import RawCluster, RawTarget, valid_answer

SETTINGS = {"limits": {"queue_requests_per_service": 1}, "attempts": {"most": 1},
            "claims": {"answer_bytes": 10}}


class OneSlot(RawCluster):
    def fleet(self):
        whole = super().fleet()
        for instance in whole["instances"]:
            instance["slots"] = 1
        return whole


class PathSettingsTest(unittest.TestCase):
    def test_attempts_claims_and_queue_follow_the_settings(self):
        targets = [RawTarget(raw_target.close_silently), RawTarget(raw_target.close_silently)]
        with OneSlot(targets, entry_settings=SETTINGS) as cluster:
            cluster.serve()
            lost = cluster.request("e1", headers={"Plantaindoor-Idempotent": "yes"})
            self.assertEqual((lost.outcome, cluster.runs_of_ids()[lost.request_id]), ("unknown", 1))

            for target in targets:
                target.behave = valid_answer
            key = {"Idempotency-Key": "k"}
            self.assertEqual(cluster.request("e1", headers=key).outcome, "answered")
            wait_for("the record without its body", lambda: cluster.request(
                "e1", headers=key).json()["type"] == "key-already-answered")

            self.fill_the_queue(cluster, targets)

    def fill_the_queue(self, cluster, targets):
        gate = threading.Event()
        self.addCleanup(gate.set)

        def wait(request):
            gate.wait()
            request.answer()
            return True

        for target in targets:
            target.behave = wait
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(cluster.request("e1")))
                   for _ in range(4)]
        for thread in threads:
            thread.start()
        # Two requests run at the targets, one is queued, one is refused.
        wait_for("a refusal", lambda: answers)
        gate.set()
        for thread in threads:
            thread.join()
        refused = [answer.json() for answer in answers if answer.outcome != "answered"]
        self.assertEqual([(each["type"], each["limit"]) for each in refused],
                         [("queue-full", "requests-of-service")])


if __name__ == "__main__":
    unittest.main()
