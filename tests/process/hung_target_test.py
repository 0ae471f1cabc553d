"""A hung target never gets more requests than it has slots. It is used again once these have ended or
exceeded the longest request."""
import threading
import unittest

from harness import wait_for
from raw_target import RawCluster, RawTarget

SLOTS = 2
SHORT = {"Plantaindoor-Deadline-Ms": "200"}


class CountingGate:
    """Answers once it is opened, and records the maximum number of concurrent requests."""

    def __init__(self):
        self.open = threading.Event()
        self.lock = threading.Lock()
        self.running = self.max_running = 0

    def __call__(self, request):
        with self.lock:
            self.running += 1
            self.max_running = max(self.max_running, self.running)
        self.open.wait()
        with self.lock:
            self.running -= 1
        request.answer()
        return True


class FewSlots(RawCluster):
    def fleet(self):
        whole = super().fleet()
        for instance in whole["instances"]:
            instance["slots"] = SLOTS
        return whole


class HungTargetTest(unittest.TestCase):
    def setUp(self):
        self.gate = CountingGate()
        self.addCleanup(self.gate.open.set)
        self.target = RawTarget(self.gate)

    def ask(self, cluster, idempotent):
        return cluster.request("e1", headers={**SHORT, "Plantaindoor-Idempotent": idempotent})

    def fill(self, cluster, idempotent):
        """Sends requests that time out until each slot is occupied, then 4 more that are not run."""
        received = [self.ask(cluster, idempotent).outcome for _ in range(SLOTS + 4)]
        self.assertEqual(received, ["unknown"] * SLOTS + ["not-run"] * 4)
        self.assertEqual(self.target.total(), SLOTS)

    def test_late_answers_free_the_slots(self):
        for idempotent in ("no", "yes"):
            with self.subTest(idempotent=idempotent):
                self.setUp()
                with FewSlots([self.target]) as cluster:
                    cluster.serve()
                    self.fill(cluster, idempotent)
                    self.gate.open.set()
                    wait_for("an answer", lambda: self.ask(cluster, idempotent).outcome == "answered")
                    self.assertEqual(self.gate.max_running, SLOTS)

    def test_target_that_never_ends_gets_its_slots_back_after_the_longest_request(self):
        service = {"deadline_ms": 200, "longest_request_ms": 3000}
        with FewSlots([self.target], service=service) as cluster:
            cluster.serve()
            self.fill(cluster, "no")
            wait_for("another try", lambda: self.ask(cluster, "no").outcome == "unknown")
            self.assertEqual(self.target.total(), SLOTS + 1)


if __name__ == "__main__":
    unittest.main()
