"""Jobs from submission to their end in real processes: placement, leases, drains, cancellation and
lost replies."""
import collections
import json
import signal
import time
import unittest

from harness import Cluster, call, wait_for

WORKER = {"processors": 8, "memory_mb": 16000}
URGENT_START_S = 1.1


def fleet_with_workers(cluster, **team):
    fleet = cluster.fleet()
    fleet["teams"][0].update(team)
    for each in fleet["instances"]:
        each.update(WORKER)
    return fleet


def job(name, **changes):
    return {"id": name, "pool": "checks", "team": "exams", "kind": "rebuild", "processors": 1,
            "memory_mb": 100, "run_time_s": 1, **changes}


def post(cluster, entry, path, body):
    return call(cluster.operators_address(entry), "POST", path, json.dumps(body))


def submit(cluster, entry, *jobs):
    answer = post(cluster, entry, "/v1/jobs", {"jobs": list(jobs)})
    assert answer.status == 200, (answer.status, answer.body)
    return answer.json()


def get(cluster, entry, name):
    answer = call(cluster.operators_address(entry), "GET", f"/v1/jobs/{name}")
    return answer.json() if answer.status == 200 else {}


def state(cluster, entry, name):
    return get(cluster, entry, name).get("state")


def tasks(cluster, name=None):
    found = call(cluster.platform_address, "GET", "/tasks").json()["tasks"]
    return [t for t in found if name is None or t["job"] == name]


def cluster_has_started(cluster, name):
    return [t for t in tasks(cluster, name) if t["state"] in ("running", "finished")]


def run_time(cluster, run_ms, name=None):
    body = {"run_ms": run_ms, **({"job": name} if name else {})}
    assert call(cluster.platform_address, "POST", "/admin/tasks", json.dumps(body)).status == 200


class JobsTest(unittest.TestCase):
    def workers(self, **options):
        cluster = Cluster(**{"targets": 3, "entries": 2, **options})
        return cluster

    def ready(self, cluster, **team):
        cluster.wait_version(cluster.apply(fleet_with_workers(cluster, **team)))

    def test_submitted_job_is_placed_and_finishes(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 300)
            self.assertEqual(submit(cluster, "e2", job("j1"))["jobs"], 1)
            wait_for("j1 finished", lambda: state(cluster, "e1", "j1") == "finished")
            self.assertEqual([t["state"] for t in tasks(cluster, "j1")], ["finished"])
            again = submit(cluster, "e1", job("j1"))
            self.assertEqual(again["items"], [{"id": "j1", "state": "finished"}])
            other = post(cluster, "e1", "/v1/jobs", job("j1", processors=2))
            self.assertEqual((other.status, other.json()["type"]), (409, "job-exists"))
            self.assertEqual(len(tasks(cluster, "j1")), 1)

    def test_urgent_job_starts_in_time_beside_a_full_pool(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 60000)
            submit(cluster, "e1", *[job(f"b{n}", processors=8, run_time_s=60) for n in range(2)])
            wait_for("b0 and b1 run", lambda: len(tasks(cluster)) == 2)
            asked = time.monotonic()
            submit(cluster, "e2", job("u1", **{"class": "urgent"}, run_time_s=60))
            wait_for("u1 runs", lambda: cluster_has_started(cluster, "u1"))
            self.assertLess(time.monotonic() - asked, URGENT_START_S)

    def test_another_entry_takes_over_after_the_leader_is_killed(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 25000)
            submit(cluster, "e1", *[job(f"j{n}") for n in range(3)])
            wait_for("all run", lambda: len(tasks(cluster)) == 3)
            before = {t["job"]: t["started_by"] for t in tasks(cluster)}
            leader = self.leader(cluster)
            cluster.entries[leader].end(signal.SIGKILL)
            cluster.register_instance(leader, "entry", state="gone")
            other = next(n for n in cluster.entries if n != leader)
            submit(cluster, other, job("late"))
            wait_for("late runs", lambda: cluster_has_started(cluster, "late"))
            wait_for("all finished", lambda: all(state(cluster, other, n) == "finished"
                                                 for n in before))
            # This took longer than an unrenewed lease, and the tasks are still the same.
            self.assertEqual({t["job"]: t["started_by"] for t in tasks(cluster)
                              if t["job"] in before}, before)

    @staticmethod
    def leader(cluster):
        """Returns the entry whose metrics show the 3 placed jobs: the leader."""
        return next(name for name in cluster.entries if call(
            cluster.operators_address(name), "GET", "/metrics").body.decode().find(
                'plantaindoor_jobs{state="placed"} 3') >= 0)

    def test_drained_worker_is_checkpointed_and_its_job_goes_on_elsewhere(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 6000)
            submit(cluster, "e1", job("j1", run_time_s=6))
            first = wait_for("j1 runs", lambda: cluster_has_started(cluster, "j1"))[0]
            wait_for("a second done", lambda: tasks(cluster, "j1")[0]["run_ms"] > 1000)
            drained = post(cluster, "e2", f"/v1/instances/{first['worker']}/drain", {})
            self.assertEqual(drained.status, 200, drained.body)
            wait_for("j1 finished", lambda: state(cluster, "e1", "j1") == "finished")
            stopped, finished = tasks(cluster, "j1")
            self.assertEqual((stopped["state"], finished["state"]), ("stopped", "finished"))
            self.assertGreater(stopped["saved_ms"], 1000)
            self.assertNotEqual(stopped["worker"], finished["worker"])

    def test_wave_of_cancellations_costs_few_transactions(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 60000)
            total = 2000
            submit(cluster, "e1", *[job(f"c{n}", run_time_s=60, kind="wave") for n in range(total)],
                   job("kept", kind="other", run_time_s=60))
            wait_for("the inbox to be empty", lambda: self.counts(cluster, "e2")["inbox"] == 0)
            before = self.transactions(cluster)
            answer = post(cluster, "e2", "/v1/jobs/cancel", {"kind": "wave", "reason": "enough"})
            self.assertEqual(answer.status, 200, answer.body)
            wait_for("all cancelled", lambda: self.counts(cluster, "e1")["cancelled"] == total)
            # 10 groups of 200 for waiting jobs, then the running ones; the rest renews leases and rows.
            self.assertLess(self.transactions(cluster) - before, 100)
            self.assertFalse(any(t["state"] == "running" and t["job"] != "kept"
                                 for t in tasks(cluster)))
            self.assertIn(state(cluster, "e1", "kept"), ("waiting", "placed"))

    @staticmethod
    def transactions(cluster):
        return call(cluster.platform_address, "GET", "/admin/counts").json()["table/transact"]

    @staticmethod
    def counts(cluster, entry):
        items = call(cluster.operators_address(entry), "GET", "/v1/jobs").json()["items"]
        found = collections.Counter(i["state"] for i in items)
        scan = call(cluster.platform_address, "POST", "/table/scan",
                    json.dumps({"prefix": "job/inbox/", "limit": 10000})).json()
        found["inbox"] = len(scan["rows"])
        return found

    def test_lost_replies_give_each_job_one_task(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 500)
            for lost in range(6):
                cluster.fault_platform(lose_reply=1 + lost % 3, effects_only=True,
                                       only="tasks" if lost % 2 else "table")
                answer = post(cluster, "e1", "/v1/jobs", job(f"j{lost}"))
                if answer.status != 200:
                    self.assertEqual(answer.json()["type"], "table-unavailable", answer.body)
                    cluster.fault_platform()
                    submit(cluster, "e1", job(f"j{lost}"))
                wait_for(f"j{lost} finished",
                         lambda n=lost: state(cluster, "e1", f"j{n}") == "finished")
            started = collections.Counter(t["job"] for t in tasks(cluster))
            self.assertEqual(set(started.values()), {1}, started)

    def test_job_that_can_never_run_is_refused_with_its_figures(self):
        with self.workers() as cluster:
            self.ready(cluster, max_job_processors=6)
            cases = [(job("a", processors=9), "job-too-large", 409),
                     (job("a", processors=7), "job-over-quota", 409),
                     (job("a", pool="moon"), "unknown-pool", 404),
                     (job("a", team="nobody"), "unknown-team", 404),
                     (job("a", deadline="2020-01-01T00:00:00Z"), "deadline-passed", 409),
                     (job("a/b"), "invalid-document", 400)]
            for wrong, kind, status in cases:
                answer = post(cluster, "e1", "/v1/jobs", {"jobs": [job("sound"), wrong]})
                self.assertEqual((answer.status, answer.json()["type"]), (status, kind))
            self.assertEqual(post(cluster, "e1", "/v1/jobs", {"jobs": [
                job("sound"), job("a", processors=9)]}).json()["most"], "8")
            self.assertIsNone(state(cluster, "e1", "sound"))

    def test_rule_refuses_and_throttles_a_class_while_it_holds(self):
        with self.workers() as cluster:
            self.ready(cluster)
            run_time(cluster, 60000)
            submit(cluster, "e1", job("runs", run_time_s=60))
            wait_for("runs", lambda: cluster_has_started(cluster, "runs"))
            fleet = fleet_with_workers(cluster)
            throttle = {"rule": "calm", "when": {}, "then": {"throttle": "background"}}
            refuse = {"rule": "full", "when": {}, "then": {"refuse": "background"}}
            cluster.wait_version(cluster.apply({**fleet, "rules": [throttle]}))
            wait_for("throttled", lambda: tasks(cluster, "runs")[0]["state"] == "throttled")
            cluster.wait_version(cluster.apply({**fleet, "rules": [refuse]}))
            answer = wait_for("refused", lambda: self.refused(cluster, "e2"))
            self.assertEqual((answer["type"], answer["rule"]), ("class-refused", "full"))
            submit(cluster, "e2", job("u", **{"class": "urgent"}))
            wait_for("not throttled any more",
                     lambda: tasks(cluster, "runs")[0]["state"] == "running")
            cluster.wait_version(cluster.apply({**fleet, "rules": []}))
            wait_for("accepted again", lambda: not self.refused(cluster, "e2"))
            self.assertEqual(len(tasks(cluster, "runs")), 1)

    @staticmethod
    def refused(cluster, entry):
        answer = post(cluster, entry, "/v1/jobs", job(f"at-{time.monotonic_ns()}"))
        return answer.json() if answer.status == 409 else None

    def test_worker_that_fails_everything_is_quarantined_within_budget(self):
        with self.workers() as cluster:
            self.ready(cluster)
            call(cluster.platform_address, "POST", "/admin/tasks", json.dumps({"failing_worker": "w2"}))
            run_time(cluster, 300)
            submit(cluster, "e1", *[job(f"j{n}", processors=4) for n in range(12)])
            wait_for("w2 quarantined", lambda: self.instance_state(cluster, "w2") == "quarantined")
            wait_for("all finished", lambda: all(
                state(cluster, "e2", f"j{n}") == "finished" for n in range(12)))

    @staticmethod
    def instance_state(cluster, name):
        items = call(cluster.operators_address("e1"), "GET", "/v1/instances").json()["items"]
        found = items[name] if isinstance(items, dict) else next(i for i in items if i["id"] == name)
        return found["state"]

    def test_failing_job_is_tried_elsewhere_and_given_up(self):
        with self.workers() as cluster:
            self.ready(cluster)
            for name in cluster.targets:
                call(cluster.platform_address, "POST", "/admin/tasks",
                     json.dumps({"failing_worker": name}))
            submit(cluster, "e1", job("j1"))
            wait_for("j1 failed", lambda: state(cluster, "e2", "j1") == "failed")
            self.assertEqual(len(tasks(cluster, "j1")), 3)
            self.assertIn("failed on", get(cluster, "e2", "j1")["reason"])


if __name__ == "__main__":
    unittest.main()
