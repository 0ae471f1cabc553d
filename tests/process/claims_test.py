"""Idempotency keys over several entries: killed and frozen entries, platform outages and races."""
import signal
import threading
import time
import unittest

import raw_target
from harness import wait_for
from raw_target import RawCluster, RawTarget, valid_answer

ORDER = b"stop chiller 7"


def keyed(key, **more):
    return {"Idempotency-Key": key, "Plantaindoor-Deadline-Ms": "3000", **more}


class Gate:
    """An answer behaviour that blocks until the gate is opened."""

    def __init__(self):
        self.open = threading.Event()

    def __call__(self, request):
        self.open.wait()
        request.answer()
        return True


class Tries:
    """Callers that send each order with its key to all entries concurrently until it has an end."""

    def __init__(self, cluster, orders, entries):
        self.cluster, self.entries = cluster, entries
        self.answers = []
        self.lock = threading.Lock()
        self.orders = iter(range(orders))
        self.threads = [threading.Thread(target=self._work) for _ in range(4)]
        for thread in self.threads:
            thread.start()

    def _work(self):
        while True:
            with self.lock:
                order = next(self.orders, None)
            if order is None:
                return
            threads = [threading.Thread(target=self._try, args=(entry, order))
                       for entry in self.entries]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _try(self, entry, order):
        body = f"order {order}".encode()
        for _ in range(60):
            answer = self.cluster.request(entry, body, headers=keyed(f"key-{order}"))
            with self.lock:
                self.answers.append((body, answer))
            if answer.outcome == "answered" or (
                    answer.failure is None and answer.json()["type"] == "key-outcome-unknown"):
                return
            if answer.failure is not None and self.cluster.entries[entry].child.poll() is not None:
                return
            time.sleep(0.1)

    def count(self):
        with self.lock:
            return len(self.answers)

    def join(self):
        for thread in self.threads:
            thread.join()
        return self.answers


class ClaimsTest(unittest.TestCase):
    def judge(self, cluster, answers):
        """Asserts at most one run per order, that run's answer for all tries, and no false not-run."""
        runs, ids = cluster.runs_of_bodies(), cluster.runs_of_ids()
        self.assertEqual({b: n for b, n in runs.items() if n > 1}, {}, "doubled")
        for body, answer in answers:
            if answer.outcome == "answered":
                self.assertEqual(runs[body], 1, "lost")
                self.assertTrue(answer.body.endswith(b" " + body), "swapped")
            if answer.outcome == "not-run":
                self.assertEqual(ids[answer.request_id], 0, "false not-run")

    def test_repeat_at_another_entry_gets_the_recorded_answer(self):
        with RawCluster([RawTarget(), RawTarget()], entries=2) as cluster:
            cluster.serve()
            first = cluster.request("e1", ORDER, headers=keyed("k"))
            self.assertEqual(first.outcome, "answered")
            again = wait_for("the record", lambda: self.replayed(cluster, "e2", ORDER))
            self.assertEqual((again.status, again.body), (first.status, first.body))
            other = cluster.request("e2", b"stop furnace 2", headers=keyed("k"))
            self.assertEqual((other.status, other.outcome), (422, "not-run"))
            self.assertEqual(other.json()["type"], "key-reused")
            self.assertEqual(cluster.runs_of_bodies(), {ORDER: 1})
            self.assertEqual(cluster.status("e1")["claims"]["recorded"], 1)
            self.assertGreaterEqual(cluster.status("e2")["claims"]["replayed"], 1)

    @staticmethod
    def replayed(cluster, entry, body):
        answer = cluster.request(entry, body, headers=keyed("k"))
        return answer if "plantaindoor-replayed" in answer.headers else None

    def in_progress_at(self, cluster, target):
        """Sends the order to e1 in a thread; returns the thread once the target runs the order."""
        answers = []
        thread = threading.Thread(target=lambda: answers.append(
            cluster.request("e1", ORDER, headers=keyed("k"))))
        thread.start()
        wait_for("the order at the target", lambda: target.total() == 1)
        return thread, answers

    def test_entry_killed_while_the_order_runs_leaves_unknown_and_no_second_run(self):
        gate = Gate()
        target = RawTarget(gate)
        with RawCluster([target], entries=2) as cluster:
            cluster.serve()
            thread, answers = self.in_progress_at(cluster, target)
            cluster.entries["e1"].end(signal.SIGKILL)
            thread.join()
            self.assertIsNotNone(answers[0].failure)
            gate.open.set()
            received = cluster.request("e2", ORDER, headers=keyed("k"))
            self.assertEqual((received.status, received.outcome), (409, "unknown"))
            self.assertEqual(received.json()["type"], "key-in-progress")
            self.assertIn("retry-after", received.headers)
            wait_for("the deadline", lambda: cluster.request(
                "e2", ORDER, headers=keyed("k")).json()["type"] == "key-outcome-unknown")
            self.assertEqual(target.total(), 1)

    def test_frozen_entry_and_a_repeat_elsewhere_run_once(self):
        gate = Gate()
        target = RawTarget(gate)
        with RawCluster([target], entries=2) as cluster:
            cluster.serve()
            thread, answers = self.in_progress_at(cluster, target)
            cluster.entries["e1"].send_signal(signal.SIGSTOP)
            gate.open.set()
            received = cluster.request("e2", ORDER, headers=keyed("k"))
            self.assertEqual(received.json()["type"], "key-in-progress")
            wait_for("the deadline", lambda: cluster.request(
                "e2", ORDER, headers=keyed("k")).json()["type"] == "key-outcome-unknown")
            cluster.entries["e1"].send_signal(signal.SIGCONT)
            thread.join()
            self.assertIn(answers[0].outcome, ("answered", "unknown"))
            cluster.request("e2", ORDER, headers=keyed("k"))
            self.assertEqual(target.total(), 1)

    def test_lost_answer_is_recorded_as_unknown(self):
        target = RawTarget(raw_target.reset)
        with RawCluster([target], entries=2) as cluster:
            cluster.serve()
            self.assertEqual(cluster.request("e1", ORDER, headers=keyed("k")).outcome, "unknown")
            target.behave = valid_answer
            wait_for("the record", lambda: cluster.request(
                "e2", ORDER, headers=keyed("k")).json()["type"] == "key-outcome-unknown")
            self.assertEqual(target.total(), 1)

    def test_order_that_was_not_run_may_be_sent_again_with_its_key(self):
        def refuse(request):
            request.answer(b"busy", status="503 Service Unavailable")
            target.runs[request.id] -= 1
            target.bodies[request.body] -= 1
            return True

        target = RawTarget(refuse)
        with RawCluster([target], entries=2) as cluster:
            cluster.serve()
            refused = cluster.request("e1", ORDER, headers=keyed("k"))
            self.assertEqual(refused.outcome, "not-run")
            target.behave = valid_answer
            wait_for("the second try", lambda: cluster.request(
                "e2", ORDER, headers=keyed("k")).outcome == "answered")
            self.assertEqual(target.total(), 1)

    def test_platform_down_refuses_keys_at_once_and_serves_the_rest(self):
        target = RawTarget()
        with RawCluster([target], entries=1) as cluster:
            cluster.serve()
            cluster.fault_platform(down=True)
            wait_for("an outage", lambda: cluster.request(
                "e1", b"probe", headers=keyed("probe")).outcome == "not-run")
            refused = cluster.request("e1", ORDER, headers=keyed("k"))
            self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
            self.assertEqual(refused.json()["type"], "claims-unavailable")
            self.assertIn("retry-after", refused.headers)
            self.assertEqual(cluster.request("e1", b"without a key").outcome, "answered")
            cluster.fault_platform()
            wait_for("the key", lambda: cluster.request(
                "e1", ORDER, headers=keyed("k")).outcome == "answered")
            self.assertEqual(target.bodies[ORDER], 1)

    def test_racing_tries_run_once_while_the_platform_loses_replies(self):
        targets = [RawTarget() for _ in range(4)]
        with RawCluster(targets, entries=3) as cluster:
            cluster.serve()
            tries = Tries(cluster, 60, list(cluster.entries))
            while any(thread.is_alive() for thread in tries.threads):
                cluster.fault_platform(lose_reply=2, lose_call=1, only="table")
                time.sleep(0.3)
            cluster.fault_platform()
            answers = tries.join()
            self.judge(cluster, answers)
            self.assertGreater(sum(a.outcome == "answered" for _, a in answers), 60)

    def test_racing_tries_run_once_while_entries_are_killed_and_frozen(self):
        targets = [RawTarget() for _ in range(4)]
        with RawCluster(targets, entries=4) as cluster:
            cluster.serve()
            tries = Tries(cluster, 300, list(cluster.entries))
            wait_for("tries under way", lambda: tries.count() > 40)
            cluster.entries["e1"].send_signal(signal.SIGSTOP)
            seen = tries.count()
            wait_for("more tries", lambda: tries.count() > seen + 3)
            cluster.entries["e2"].end(signal.SIGKILL)
            cluster.entries["e1"].send_signal(signal.SIGCONT)
            seen = tries.count()
            wait_for("more tries", lambda: tries.count() > seen + 40)
            cluster.entries["e1"].end(signal.SIGKILL)
            answers = tries.join()
            self.judge(cluster, answers)
            self.assertGreater(sum(a.outcome == "answered" for _, a in answers), 300)

    def test_ending_entry_records_its_answers(self):
        with RawCluster([RawTarget()], entries=2) as cluster:
            cluster.serve()
            cluster.request("e1", ORDER, headers=keyed("k"))
            self.assertEqual(cluster.entries["e1"].end(signal.SIGTERM), 0)
            self.assertIsNotNone(self.replayed(cluster, "e2", ORDER))


if __name__ == "__main__":
    unittest.main()
