"""An entry loses its connection to the table but still reaches its peers."""
import json
import time
import unittest

from harness import Cluster, Load, Relay, call, judge, wait_for

IN_FORCE_S = 4
CURRENCY_S = 3
LIST_LAG_MS = 1000


def make_cluster(entries):
    return Cluster(targets=4, entries=entries, service_ms=20,
                   entry_settings={"timings": {"list_lag_ms": LIST_LAG_MS}})


def late_team(cluster, name):
    fleet = cluster.fleet()
    fleet["teams"].append({"id": name})
    return fleet


class CutTest(unittest.TestCase):
    def assert_unharmed(self, cluster, answers):
        verdict = judge(answers, cluster.runs())
        self.assertGreater(verdict.answered, 0)
        self.assertEqual((verdict.lost, verdict.doubled, verdict.partial, verdict.false_not_run,
                          verdict.unanswered), (0, 0, 0, 0, 0), verdict)

    def test_entry_cut_from_the_table_alone_follows_its_peers(self):
        with make_cluster(2) as cluster:
            cluster.relays["e3"] = Relay(cluster.platform_address)
            cluster.start_entry("e3", "c")
            cluster.wait_version(cluster.apply())
            load = Load(cluster, ["e3"])
            try:
                self.cut_and_restore(cluster)
            finally:
                answers = load.stop()
            self.assert_unharmed(cluster, answers)

    def cut_and_restore(self, cluster):
        cluster.relays["e3"].cut()
        cut = time.monotonic()
        version = cluster.apply(late_team(cluster, "late"), "e1")
        cluster.wait_version(version)
        self.assertLess(time.monotonic() - cut, IN_FORCE_S)
        # Longer than the entry would serve without any confirmation.
        while time.monotonic() - cut < 3 * CURRENCY_S:
            status = cluster.status("e3")
            self.assertTrue(status["ready"], status)
            time.sleep(0.1)
        refused = call(cluster.operators_address("e3"), "POST", "/v1/apply",
                       json.dumps(late_team(cluster, "later")))
        self.assertNotEqual(refused.status, 200, refused.body)
        self.assertEqual(cluster.status("e1")["version"], version)
        # Its row can't show its confirmation, so nothing may be stopped before the restore.
        drained = wait_for("the lists were read", lambda: self.drain(cluster))
        self.assertEqual(drained.status, 200, drained.body)
        end = time.monotonic() + 2 * CURRENCY_S
        while time.monotonic() < end:
            self.assertEqual(self.state(cluster), "draining")
            time.sleep(0.1)
        cluster.relays["e3"].restore()
        wait_for("w1 stopped", lambda: self.state(cluster) == "stopped")

    @staticmethod
    def drain(cluster):
        answer = call(cluster.operators_address("e1"), "POST", "/v1/instances/w1/drain",
                      json.dumps({"reason": "test"}))
        return answer if answer.status != 503 else None

    @staticmethod
    def state(cluster):
        items = call(cluster.operators_address("e1"), "GET", "/v1/instances").json()["items"]
        return next(i["state"] for i in items if i["id"] == "w1")


if __name__ == "__main__":
    unittest.main()
