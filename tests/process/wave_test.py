"""A maintenance wave in real processes: every instance is rebooted, and no caller is harmed."""
import json
import signal
import time
import unittest

from harness import Cluster, Load, call, judge, wait_for

MAX_WAVE_S = 180
FROZEN_S = 20
# Longer than a wave takes from a drain to the reboot if nothing delays it.
LONG_REQUEST_MS = 8000
MAX_REQUEST_MS = 10000


def post(cluster, entry, path, body):
    return call(cluster.operators_address(entry), "POST", path, json.dumps(body))


def get_wave(cluster, entry):
    answer = call(cluster.operators_address(entry), "GET", "/v1/waves/m1", timeout_s=5)
    return answer.json() if answer.status == 200 else {}


class WaveTest(unittest.TestCase):
    def fleet_cluster(self):
        return Cluster(targets=6, entries=3, service_ms=20,
                       service={"budget": {"minimum": 4}, "longest_request_ms": 2000},
                       entry_settings={"timings": {"list_lag_ms": 1000}})

    def run_wave(self, cluster, inject_fault, entries=("e1", "e3"), headers=None):
        load = Load(cluster, entries, callers=4, headers=headers)
        try:
            self.finish_wave(cluster, inject_fault)
        except AssertionError as failure:
            raise AssertionError(f"{failure}\n{cluster.report()}") from failure
        finally:
            answers = load.stop()
        verdict = judge(answers, cluster.runs())
        self.assertEqual(verdict[4:], (0, 0, 0, 0), verdict)
        self.assertEqual(cluster.cut(), 0)
        items = call(cluster.operators_address("e1"), "GET", "/v1/instances").json()["items"]
        self.assertEqual({(i["state"], i["last_wave"]) for i in items}, {("admitted", "m1")})

    def finish_wave(self, cluster, inject_fault):
        started = post(cluster, "e1", "/v1/waves", {"id": "m1", "pools": ["checks"]})
        self.assertEqual(started.status, 200, started.body)
        wait_for("an instance out", lambda: get_wave(cluster, "e1").get("out", 0) > 0)
        inject_fault()
        wait_for("wave finished", lambda: get_wave(cluster, "e1").get("state") == "finished",
                 MAX_WAVE_S)

    def test_wave_maintains_every_instance_under_load(self):
        with self.fleet_cluster() as cluster:
            cluster.wait_version(cluster.apply())
            self.run_wave(cluster, lambda: None)

    def test_wave_continues_when_an_entry_is_killed_and_another_frozen(self):
        with self.fleet_cluster() as cluster:
            cluster.wait_version(cluster.apply())

            def inject_fault():
                cluster.entries["e2"].end(signal.SIGKILL)
                cluster.register_instance("e2", "entry", state="gone")
                cluster.entries["e3"].send_signal(signal.SIGSTOP)
                self.assert_wave_holds(cluster)
                cluster.entries["e3"].send_signal(signal.SIGCONT)

            self.run_wave(cluster, inject_fault)

    def assert_wave_holds(self, cluster):
        """Asserts that no instance is stopped while an entry with possible requests is frozen."""
        end = time.monotonic() + FROZEN_S
        while time.monotonic() < end:
            items = call(cluster.operators_address("e1"), "GET", "/v1/instances").json()["items"]
            self.assertNotIn("stopped", [i["state"] for i in items])

    def test_reboot_waits_for_requests_in_progress(self):
        with Cluster(targets=2, entries=2, service_ms=LONG_REQUEST_MS,
                     service={"budget": {"minimum": 1}, "longest_request_ms": MAX_REQUEST_MS},
                     entry_settings={"timings": {"list_lag_ms": 1000}}) as cluster:
            cluster.wait_version(cluster.apply())
            self.run_wave(cluster, lambda: None, entries=["e1", "e2"],
                          headers={"Plantaindoor-Deadline-Ms": str(MAX_REQUEST_MS)})

    def test_waves_follow_the_settings(self):
        with Cluster(targets=3, entries=1, service={"budget": {"minimum": 1}},
                     entry_settings={"waves": {"one_at_a_time": "none"}}) as cluster:
            cluster.wait_version(cluster.apply())
            started = post(cluster, "e1", "/v1/waves", {"id": "m1", "pools": ["checks"]})
            self.assertEqual(started.status, 200, started.body)
            # In two zones: no zone has more than one.
            wait_for("two instances out", lambda: get_wave(cluster, "e1").get("out") == 2)

    def test_drain_that_breaks_the_budget_is_refused_with_figures(self):
        with self.fleet_cluster() as cluster:
            cluster.wait_version(cluster.apply())
            for number, status in ((1, 200), (2, 200), (3, 409)):
                answer = wait_for("lists read", lambda n=number: self.drain(cluster, n))
                self.assertEqual(answer.status, status, answer.body)
            self.assertEqual((answer.json()["type"], answer.json()["service"]),
                             ("breaks-budget", "spell"))

    @staticmethod
    def drain(cluster, number):
        return post(cluster, "e1", f"/v1/instances/w{number}/drain", {"reason": "test"})


if __name__ == "__main__":
    unittest.main()
