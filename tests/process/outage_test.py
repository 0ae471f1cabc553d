"""Platform outage: accepted changes apply at all entries; none serves with unconfirmed state."""
import signal
import time
import unittest

from harness import Cluster, wait_for

IN_FORCE_S = 4


class OutageTest(unittest.TestCase):
    def cluster(self):
        return Cluster(targets=2, entries=3, entry_settings={"timings": {"list_lag_ms": 3000}})

    def test_accepted_change_reaches_all_without_the_platform(self):
        for accepting in ("e1", "e2", "e3"):
            with self.cluster() as cluster:
                cluster.wait_version(cluster.apply())
                cluster.wait_ready()
                fleet = cluster.fleet()
                fleet["teams"].append({"id": "late"})
                version = cluster.apply(fleet, accepting)
                cluster.platform.end(signal.SIGKILL)
                accepted = time.monotonic()
                cluster.wait_version(version)
                self.assertLess(time.monotonic() - accepted, IN_FORCE_S)
                time.sleep(IN_FORCE_S)
                for entry in cluster.entries:
                    self.assertTrue(cluster.ready(entry), entry)
                    answer = cluster.request(entry, b"words")
                    self.assertEqual(answer.outcome, "answered", answer.body)

    def test_entry_started_in_the_outage_catches_up_from_peers_or_is_not_ready(self):
        with self.cluster() as cluster:
            version = cluster.apply()
            cluster.wait_version(version)
            cluster.wait_ready()
            fleet = cluster.fleet()
            fleet["teams"].append({"id": "late"})
            version = cluster.apply(fleet)
            cluster.platform.end(signal.SIGKILL)
            cluster.register_instance = lambda *_, **__: None
            started = time.monotonic()
            cluster.start_entry("e4", "b")
            while not cluster.ready("e4"):
                self.assertLess(time.monotonic() - started, 30)
                answer = cluster.request("e4", b"words")
                if answer.status == 200:
                    # It may have become ready between the check and the request, never later.
                    self.assertTrue(cluster.ready("e4"))
                    break
                self.assertEqual((answer.status, answer.outcome), (503, "not-run"))
                time.sleep(0.1)
            self.assertGreater(time.monotonic() - started, 3)
            self.assertEqual(cluster.status("e4")["version"], version)
            for entry in ("e1", "e2", "e3"):
                cluster.entries[entry].send_signal(signal.SIGSTOP)
            wait_for("e4 not ready alone", lambda: not cluster.ready("e4"))

    def test_resumed_entry_runs_no_requests_until_it_is_current(self):
        with self.cluster() as cluster:
            cluster.wait_version(cluster.apply())
            cluster.wait_ready()
            cluster.entries["e2"].send_signal(signal.SIGSTOP)
            time.sleep(IN_FORCE_S)
            fleet = cluster.fleet()
            fleet["teams"].append({"id": "late"})
            version = cluster.apply(fleet, "e1")
            cluster.platform.end(signal.SIGKILL)
            for entry in ("e1", "e3"):
                cluster.entries[entry].send_signal(signal.SIGSTOP)
            cluster.entries["e2"].send_signal(signal.SIGCONT)
            refused = cluster.request("e2", b"words")
            self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
            for entry in ("e1", "e3"):
                cluster.entries[entry].send_signal(signal.SIGCONT)
            cluster.wait_ready(["e2"])
            self.assertEqual(cluster.status("e2")["version"], version)


if __name__ == "__main__":
    unittest.main()
