"""Command lines of plantainctl and the daemon: exit codes, typed refusals, dry runs, the token."""
import contextlib
import http.server
import json
import pathlib
import subprocess
import threading
import unittest

from harness import BUILD, Cluster, call, wait_for


def run(program, *words):
    return subprocess.run([BUILD / "apps" / program, *words], capture_output=True, text=True,
                          check=False)


@contextlib.contextmanager
def entry_without_verbs():
    """An entry of an older release that answers every verb with not-supported."""
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            body = b'{"type":"not-supported","message":"too old"}'
            self.send_response(501)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


class CtlTest(unittest.TestCase):
    def ctl(self, cluster, *words):
        return run("plantainctl", "--entry", cluster.operators_address("e1"), "--as", "ann", *words)

    def fleet_file(self, cluster, fleet):
        path = pathlib.Path(cluster.folder) / "fleet.yaml"
        path.write_text(json.dumps(fleet))
        return str(path)

    def test_apply_shows_what_changes_and_refuses_what_is_stale(self):
        with Cluster(targets=2, entries=1) as cluster:
            fleet = cluster.fleet()
            dry = self.ctl(cluster, "apply", "-f", self.fleet_file(cluster, fleet), "--dry-run")
            self.assertEqual((dry.returncode, cluster.status("e1")["version"]), (0, 0))
            self.assertIn("put service spell", dry.stdout)
            done = self.ctl(cluster, "apply", "-f", self.fleet_file(cluster, fleet), "-o", "json")
            self.assertEqual((done.returncode, json.loads(done.stdout)["version"]), (0, 1))
            stale = {**fleet, "version": 0, "pools": [{"id": "checks", "reserve": 1}]}
            refused = self.ctl(cluster, "apply", "-f", self.fleet_file(cluster, stale))
            self.assertEqual(refused.returncode, 1)
            self.assertIn("stale-edit", refused.stderr)
            self.assertEqual(cluster.status("e1")["version"], 1)

    def test_faulty_file_lists_every_fault_and_changes_nothing(self):
        with Cluster(targets=1, entries=1) as cluster:
            fleet = cluster.fleet()
            fleet["services"][0]["priority"] = "soon"
            fleet["pools"][0]["lend"] = True
            refused = self.ctl(cluster, "apply", "-f", self.fleet_file(cluster, fleet))
            self.assertEqual(refused.returncode, 1)
            for part in ("services[0].priority", "urgent|interactive|background", "pools[0].lend"):
                self.assertIn(part, refused.stderr)
            self.assertEqual(cluster.status("e1")["version"], 0)

    def test_exit_codes_tell_refused_usage_unreachable_and_unsupported_apart(self):
        with Cluster(targets=1, entries=1) as cluster:
            cluster.wait_version(cluster.apply())
            cases = [(("get", "instances"), 0), (("status",), 0), (("journal",), 0),
                     (("drain", "nobody"), 1), (("drain",), 2), (("dance",), 2),
                     (("apply", "-f", "/nonexistent"), 2), (("job", "get", "j"), 1)]
            for words, code in cases:
                done = self.ctl(cluster, *words)
                self.assertEqual(done.returncode, code, (words, done.stdout, done.stderr))
        self.assertEqual(run("plantainctl", "--entry", "127.0.0.1:1", "status").returncode, 3)
        with entry_without_verbs() as older:
            for words in (("job", "get", "j"), ("get", "jobs"), ("status",)):
                done = run("plantainctl", "--entry", older, *words)
                self.assertEqual((done.returncode, done.stderr), (4, "not-supported: too old\n"))

    def test_jobs_are_submitted_shown_and_cancelled(self):
        with Cluster(targets=1, entries=1) as cluster:
            fleet = cluster.fleet()
            fleet["instances"][0].update(processors=4, memory_mb=1000)
            cluster.wait_version(cluster.apply(fleet))
            call(cluster.platform_address, "POST", "/admin/tasks", json.dumps({"run_ms": 60000}))
            job = {"id": "j1", "pool": "checks", "team": "exams", "kind": "rebuild", "processors": 4}
            path = pathlib.Path(cluster.folder) / "job.yaml"
            path.write_text(json.dumps(job))
            done = self.ctl(cluster, "job", "submit", "-f", str(path))
            self.assertEqual(done.returncode, 0, done.stderr)
            shown = json.loads(self.ctl(cluster, "job", "get", "j1", "-o", "json").stdout)
            self.assertEqual((shown["id"], shown["kind"]), ("j1", "rebuild"))
            self.assertRegex(self.ctl(cluster, "get", "jobs").stdout, r"j1 +exams +(waiting|placed)")
            path.write_text(json.dumps({**job, "id": "j2", "processors": 5}))
            refused = self.ctl(cluster, "job", "submit", "-f", str(path))
            self.assertEqual(refused.returncode, 1)
            self.assertIn("job-too-large", refused.stderr)
            self.assertEqual(self.ctl(cluster, "job", "cancel-matching").returncode, 1)
            done = self.ctl(cluster, "job", "cancel-matching", "--kind", "rebuild", "--reason", "enough")
            self.assertEqual(done.returncode, 0, done.stderr)
            wait_for("j1 cancelled", lambda: json.loads(self.ctl(
                cluster, "job", "get", "j1", "-o", "json").stdout)["state"] == "cancelled")

    def test_token_is_required_if_one_is_set(self):
        with Cluster(targets=0, entries=0) as cluster:
            token = pathlib.Path(cluster.folder) / "token"
            token.write_text("a secret\n")
            cluster.entry_settings = {"operator_token_file": str(token)}
            cluster.start_entry("e1", "a")
            self.assertEqual(self.ctl(cluster, "status").returncode, 1)
            self.assertEqual(self.ctl(cluster, "--token-file", str(token), "status").returncode, 0)
            self.assertEqual(call(cluster.operators_address("e1"), "GET", "/health").status, 200)

    def test_daemon_reports_every_fault_of_its_settings(self):
        with Cluster(targets=0, entries=0) as cluster:
            path = pathlib.Path(cluster.folder) / "bad.yaml"
            path.write_text("cluster: c\nentry: 'e 1'\ncolour: red\n")
            done = run("plantaindoord", "--config", str(path), "--check-settings")
            self.assertEqual(done.returncode, 2)
            for part in ("bad.yaml:2: entry", "listen.callers", "bad.yaml:3: colour"):
                self.assertIn(part, done.stderr)


if __name__ == "__main__":
    unittest.main()
