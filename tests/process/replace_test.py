"""All entries are replaced one by one while the table is unavailable."""
import json
import signal
import unittest

from harness import Balancer, Cluster, Load, call, judge, wait_for

LIST_LAG_MS = 1000


def late_team(cluster, name):
    fleet = cluster.fleet()
    fleet["teams"].append({"id": name})
    return fleet


class ReplaceTest(unittest.TestCase):
    def test_all_entries_replaced_while_the_table_is_away(self):
        with Cluster(targets=4, entries=3, service_ms=20,
                     entry_settings={"timings": {"list_lag_ms": LIST_LAG_MS}}) as cluster:
            cluster.wait_version(cluster.apply())
            version = cluster.apply(late_team(cluster, "late"))
            cluster.wait_version(version)
            cluster.fault_platform(down=True, only="table")
            balancer = Balancer(cluster)
            load = Load(cluster, ["e1", "e2", "e3"], balancer=balancer)
            try:
                self.replace_all(cluster, version)
            finally:
                answers = load.stop()
                balancer.stop()
            verdict = judge(answers, cluster.runs())
            self.assertEqual((verdict.lost, verdict.doubled, verdict.partial, verdict.false_not_run,
                              verdict.unanswered), (0, 0, 0, 0, 0), verdict)
            cluster.fault_platform()
            newest = wait_for("changes are accepted again", lambda: self.apply(cluster, "e4"))
            cluster.wait_version(newest, ["e4", "e5", "e6"])
            self.assertGreater(newest, version)

    def replace_all(self, cluster, version):
        for number in (1, 2, 3):
            old, new = f"e{number}", f"e{number + 3}"
            cluster.start_entry(new, "abc"[number - 1])
            wait_for(f"{new} serves", lambda n=new: self.serves_nothing_older(cluster, n, version))
            cluster.entries[old].end(signal.SIGTERM)
            cluster.register_instance(old, "entry", state="gone")
            for entry in [n for n in cluster.entries if cluster.entries[n].child.poll() is None]:
                self.assertTrue(cluster.ready(entry), f"{entry}: {cluster.status(entry)}")

    def serves_nothing_older(self, cluster, entry, version):
        status = cluster.status(entry)
        if status is None or not status["ready"]:
            return False
        self.assertEqual(status["version"], version)
        return True

    @staticmethod
    def apply(cluster, entry):
        answer = call(cluster.operators_address(entry), "POST", "/v1/apply",
                      json.dumps(late_team(cluster, "later")))
        return answer.json()["version"] if answer.status == 200 else None


if __name__ == "__main__":
    unittest.main()
