"""Jobs from submission to their end, in the binaries: placement, leases, drains, cancellation, lost replies."""
import json
import os
import signal
import subprocess
import time
import unittest

from harness import BUILD, Cluster, call, wait_for

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
    return call(cluster.operators_at(entry), "POST", path, json.dumps(body))


def submit(cluster, entry, *jobs):
    answer = post(cluster, entry, "/v1/jobs", {"jobs": list(jobs)})
    assert answer.status == 200, (answer.status, answer.body)
    return answer.json()


def get(cluster, entry, name):
    answer = call(cluster.operators_at(entry), "GET", f"/v1/jobs/{name}")
    return answer.json() if answer.status == 200 else {}


def state(cluster, entry, name):
    return get(cluster, entry, name).get("state")


def tasks(cluster, name=None):
    found = call(cluster.platform_at, "GET", "/tasks").json()["tasks"]
    return [t for t in found if name is None or t["job"] == name]


def run_time(cluster, run_ms, name=None):
    body = {"run_ms": run_ms, **({"job": name} if name else {})}
    assert call(cluster.platform_at, "POST", "/admin/tasks", json.dumps(body)).status == 200


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


if __name__ == "__main__":
    unittest.main()
