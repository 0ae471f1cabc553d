"""Callers that disconnect, and an entry that stops before its requests have ended."""
import signal
import socket
import threading
import unittest

from harness import wait_for
from raw_target import RawCluster, RawTarget

LONG = {"Plantaindoor-Deadline-Ms": "20000"}


class Gate:
    """An answer behaviour that blocks until the gate is opened."""

    def __init__(self):
        self.open = threading.Event()

    def __call__(self, request):
        self.open.wait()
        request.answer()
        return True


class OneSlot(RawCluster):
    """One target that runs one request at a time."""

    def fleet(self):
        whole = super().fleet()
        whole["instances"][0]["slots"] = 1
        return whole


class Caller:
    """A keyed request on a connection that the test can close."""

    def __init__(self, cluster, body, key, entry="e1"):
        host, port = cluster.callers_address(entry).rsplit(":", 1)
        self.connection = socket.create_connection((host, int(port)))
        headers = {"Host": "entry", "Content-Length": len(body), "Idempotency-Key": key, **LONG}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        self.connection.sendall(("\r\n".join(["POST /spell/check HTTP/1.1", *lines]) + "\r\n\r\n")
                                .encode() + body)

    def leave(self):
        self.connection.close()


def in_progress(cluster):
    return cluster.status("e1")["requests_in_progress"]


def ended(cluster):
    """Returns whether no request is in progress and every end is recorded in the table."""
    return in_progress(cluster) == 0 and cluster.status("e1")["claims"]["unsettled"] == 0


def ask(cluster, entry, body, key):
    return cluster.request(entry, body, headers={"Idempotency-Key": key, **LONG})


class CallersTest(unittest.TestCase):
    def setUp(self):
        self.gate = Gate()
        self.target = RawTarget(self.gate)
        self.addCleanup(self.gate.open.set)

    def start(self, cluster):
        """Starts a request that runs at the target and one that is queued for its slot."""
        running = Caller(cluster, b"running", "running")
        self.addCleanup(running.leave)
        wait_for("the request at the target", lambda: self.target.total() == 1)
        waiting = Caller(cluster, b"waiting", "waiting")
        self.addCleanup(waiting.leave)
        wait_for("the other in the queue", lambda: in_progress(cluster) == 2)
        return running, waiting

    def test_queued_request_whose_caller_disconnected_never_runs_and_releases_its_key(self):
        with OneSlot([self.target]) as cluster:
            cluster.serve()
            _, waiting = self.start(cluster)
            waiting.leave()
            wait_for("the queue to be empty", lambda: in_progress(cluster) == 1)
            self.gate.open.set()
            wait_for("the first to end", lambda: ended(cluster))
            self.assertEqual(self.target.bodies, {b"running": 1})
            again = ask(cluster, "e1", b"waiting", "waiting")
            self.assertEqual(again.outcome, "answered")
            self.assertEqual(self.target.bodies, {b"running": 1, b"waiting": 1})

    def test_sent_request_keeps_its_slot_and_claim_after_its_caller_disconnected(self):
        with OneSlot([self.target]) as cluster:
            cluster.serve()
            running, waiting = self.start(cluster)
            running.leave()
            waiting.leave()
            # Both disconnects were processed: only the queued request could be dropped.
            wait_for("the queue to be empty", lambda: in_progress(cluster) == 1)
            third = Caller(cluster, b"third", "third")
            self.addCleanup(third.leave)
            wait_for("the third in the queue", lambda: in_progress(cluster) == 2)
            self.assertEqual(self.target.bodies, {b"running": 1})
            self.gate.open.set()
            wait_for("both to end", lambda: ended(cluster))
            again = ask(cluster, "e1", b"running", "running")
            self.assertEqual(again.headers.get("plantaindoor-replayed"), "yes")
            self.assertEqual(self.target.bodies, {b"running": 1, b"third": 1})

    def test_stopping_entry_reports_true_outcomes_to_callers_and_claims(self):
        with OneSlot([self.target], entry_settings={"timings": {"drain_timeout_ms": 500}}) as cluster:
            cluster.serve()
            answers = {}
            threads = [threading.Thread(target=lambda body=body: answers.update(
                {body: ask(cluster, "e1", body, body.decode())})) for body in (b"sent", b"queued")]
            threads[0].start()
            wait_for("the request at the target", lambda: self.target.total() == 1)
            threads[1].start()
            wait_for("the other in the queue", lambda: in_progress(cluster) == 2)
            self.assertEqual(cluster.entries["e1"].end(signal.SIGTERM), 0)
            for thread in threads:
                thread.join()
            sent, queued = answers[b"sent"], answers[b"queued"]
            self.assertEqual((sent.status, sent.outcome), (502, "unknown"), sent.failure)
            self.assertEqual((queued.status, queued.outcome), (503, "not-run"), queued.failure)
            self.assertEqual(queued.json()["type"], "not-serving")

            del cluster.entries["e1"]
            cluster.start_entry("e2", "a")
            cluster.wait_ready()
            self.gate.open.set()
            repeated = ask(cluster, "e2", b"sent", "sent")
            self.assertEqual((repeated.status, repeated.json()["type"]), (409, "key-outcome-unknown"))
            self.assertEqual(ask(cluster, "e2", b"queued", "queued").outcome, "answered")
            self.assertEqual(self.target.bodies, {b"sent": 1, b"queued": 1})


if __name__ == "__main__":
    unittest.main()
