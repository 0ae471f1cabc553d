"""Answers that are incomplete, late or belong to another request, with targets that count runs."""
import collections
import threading
import time
import unittest

import raw_target
from harness import wait_for
from raw_target import RawCluster, RawTarget, valid_answer

FAULTY_ANSWERS = [raw_target.truncated_body, raw_target.truncated_chunk, raw_target.no_last_chunk,
                  raw_target.reset, raw_target.close_silently, raw_target.reset_in_body,
                  raw_target.undelimited, raw_target.conflicting_lengths,
                  raw_target.length_and_chunks, raw_target.foreign_request_id,
                  raw_target.never_ending, raw_target.declared_too_long, raw_target.not_http]
DEADLINE = {"Plantaindoor-Deadline-Ms": "10000"}
ORDER = {"Plantaindoor-Idempotent": "no", **DEADLINE}
IDEMPOTENT = {"Plantaindoor-Idempotent": "yes", **DEADLINE}


class AnswersTest(unittest.TestCase):
    def test_faulty_answer_is_reported_as_unknown_and_runs_once(self):
        targets = [RawTarget(), RawTarget()]
        with RawCluster(targets) as cluster:
            cluster.serve()
            for behave in FAULTY_ANSWERS:
                with self.subTest(behave.__name__):
                    targets[0].behave = targets[1].behave = behave
                    broken = cluster.request("e1", b"an order", headers=DEADLINE)
                    self.assertEqual((broken.status, broken.outcome), (502, "unknown"), broken.body)
                    self.assertEqual(broken.json()["type"], "lost-answer")
                    self.assertEqual(cluster.runs_of_ids()[broken.request_id], 1)
                    targets[0].behave = targets[1].behave = valid_answer
                    good = cluster.request("e1", behave.__name__.encode(), headers=DEADLINE)
                    self.assertEqual(good.outcome, "answered")
                    self.assertEqual(good.body.decode(), f"{good.request_id} {behave.__name__}")

    def test_idempotent_request_with_faulty_answer_is_tried_elsewhere(self):
        targets = [RawTarget(), RawTarget()]
        with RawCluster(targets) as cluster:
            cluster.serve()
            for behave in FAULTY_ANSWERS:
                with self.subTest(behave.__name__):
                    targets[0].behave = behave
                    for number in range(4):
                        body = f"{behave.__name__} {number}"
                        answer = cluster.request("e1", body.encode(), headers=IDEMPOTENT)
                        self.assertEqual(answer.outcome, "answered")
                        self.assertEqual(answer.body.decode(), f"{answer.request_id} {body}")
                        self.assertLessEqual(targets[0].runs[answer.request_id], 1)

    def test_slow_answers_are_unknown_before_the_deadline(self):
        target = RawTarget()
        with RawCluster([target]) as cluster:
            cluster.serve()
            for behave in (raw_target.trickle, raw_target.stall):
                with self.subTest(behave.__name__):
                    target.behave = behave
                    started = time.monotonic()
                    answer = cluster.request("e1", headers=DEADLINE)
                    self.assertEqual(answer.outcome, "unknown")
                    self.assertLess(time.monotonic() - started, 10, "decided before the deadline")
                    self.assertEqual(target.runs[answer.request_id], 1)

    def test_late_answer_is_discarded_with_its_connection(self):
        late = threading.Event()

        def answer_late(request):
            late.wait()
            request.answer(b"late")
            return True

        target = RawTarget(answer_late)
        with RawCluster([target]) as cluster:
            cluster.serve()
            for idempotent in ("no", "yes"):
                with self.subTest(idempotent=idempotent):
                    late.clear()
                    target.behave = answer_late
                    headers = {"Plantaindoor-Deadline-Ms": "300",
                               "Plantaindoor-Idempotent": idempotent}
                    lost = cluster.request("e1", headers=headers)
                    self.assertEqual(lost.outcome, "unknown")
                    self.assertEqual(lost.json()["type"], "lost-answer")
                    late.set()
                    target.behave = valid_answer
                    for number in range(20):
                        body = str(number).encode()
                        good = cluster.request("e1", body, headers=IDEMPOTENT)
                        self.assertEqual(good.body, good.request_id.encode() + b" " + body)

    def test_unsolicited_answer_on_a_reused_connection_reaches_no_caller(self):
        def answer_twice(request):
            request.answer()
            request.send(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunasked")
            return True

        targets = [RawTarget(answer_twice), RawTarget(answer_twice)]
        with RawCluster(targets) as cluster:
            cluster.serve()
            for number in range(40):
                body = str(number).encode()
                answer = cluster.request("e1", body, headers=IDEMPOTENT)
                if answer.outcome == "answered":
                    self.assertEqual(answer.body, answer.request_id.encode() + b" " + body)

    def test_kept_connection_that_closes_does_not_run_a_request_twice_at_one_target(self):
        target = RawTarget()
        with RawCluster([target]) as cluster:
            cluster.serve()
            for number in range(10):
                target.behave = valid_answer
                cluster.request("e1", headers=IDEMPOTENT)
                target.behave = raw_target.close_silently
                lost = cluster.request("e1", str(number).encode(), headers=IDEMPOTENT)
                self.assertEqual(lost.outcome, "unknown")
                self.assertEqual(target.runs[lost.request_id], 1)

    def test_unsolicited_answer_before_the_expected_one_reaches_no_caller(self):
        """The unsolicited answer arrives after the request was sent, so only its id tells it apart."""
        def unsolicited_first(request):
            request.send(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunasked")
            request.answer()
            return True

        for headers in (IDEMPOTENT, ORDER):
            target = RawTarget()
            with self.subTest(headers), RawCluster([target]) as cluster:
                cluster.serve()
                for _ in range(3):
                    self.assertEqual(cluster.request("e1", headers=headers).outcome, "answered")
                target.behave = unsolicited_first
                unknown = cluster.request("e1", headers=headers)
                self.assertIn(unknown.request_id, target.on_used_connections)
                self.assertEqual((unknown.outcome, unknown.json()["type"]),
                                 ("unknown", "lost-answer"))
                self.assertEqual(target.runs[unknown.request_id], 1)

    def test_kept_connection_that_closes_does_not_run_an_order_twice(self):
        """The target closes a reused connection after it has read the order."""
        target = RawTarget()
        with RawCluster([target]) as cluster:
            cluster.serve()
            for number in range(10):
                target.behave = valid_answer
                for _ in range(3):
                    good = cluster.request("e1", b"an order", headers=ORDER)
                    self.assertEqual((good.outcome, good.body),
                                     ("answered", good.request_id.encode() + b" an order"))
                target.behave = (raw_target.close_silently, raw_target.reset)[number % 2]
                lost = cluster.request("e1", str(number).encode(), headers=ORDER)
                self.assertEqual(lost.outcome, "unknown")
                self.assertEqual(target.runs[lost.request_id], 1)
                # After that, the target gets a new connection for each order for some time.
                self.assertEqual(lost.request_id in target.on_used_connections, number == 0)
            self.assertEqual(set(target.runs.values()), {1})

    def test_target_that_closes_idle_connections_runs_no_order_twice_and_loses_few(self):
        """It closes after each answer without announcing it, so an order may race with the close."""
        def answer_and_close(request):
            request.answer()

        target = RawTarget(answer_and_close)
        with RawCluster([target]) as cluster:
            cluster.serve()
            answers = [cluster.request("e1", b"an order", headers=ORDER) for _ in range(100)]
            outcomes = collections.Counter(answer.outcome for answer in answers)
            self.assertEqual(outcomes["answered"] + outcomes["unknown"], 100)
            self.assertLessEqual(outcomes["unknown"], 1)
            self.assertEqual(set(target.runs.values()), {1})

    def test_target_that_does_not_always_name_requests_gets_new_connections(self):
        for headers in (IDEMPOTENT, ORDER):
            target = RawTarget()
            with self.subTest(headers), RawCluster([target]) as cluster:
                cluster.serve()
                self.assertEqual(cluster.request("e1", headers=headers).outcome, "answered")
                target.behave = raw_target.no_request_id
                cluster.request("e1", headers=headers)
                target.on_used_connections.clear()
                for behave in (valid_answer, raw_target.no_request_id,
                               valid_answer, raw_target.no_request_id):
                    target.behave = behave
                    self.assertEqual(cluster.request("e1", headers=headers).outcome, "answered")
                self.assertEqual(target.on_used_connections, set())

    def test_target_that_names_no_request_gets_each_order_on_a_new_connection(self):
        target = RawTarget(raw_target.no_request_id)
        with RawCluster([target]) as cluster:
            cluster.serve()
            for _ in range(5):
                answer = cluster.request("e1", headers=ORDER)
                self.assertEqual((answer.outcome, answer.body), ("answered", b"nameless"))
            self.assertEqual(target.on_used_connections, set())

    def test_refusal_is_not_a_run_and_the_next_target_is_tried(self):
        def refuse(request):
            request.answer(b"busy", status="503 Service Unavailable")
            return True

        targets = [RawTarget(refuse), RawTarget()]
        with RawCluster(targets) as cluster:
            cluster.serve()
            for number in range(4):
                answer = cluster.request("e1", str(number).encode())
                self.assertEqual(answer.outcome, "answered")
            targets[1].behave = refuse
            refused = cluster.request("e1")
            self.assertEqual((refused.status, refused.outcome), (503, "not-run"))
            self.assertIn("retry-after", refused.headers)

    def test_closed_target_counts_as_not_run(self):
        target = RawTarget()
        with RawCluster([target]) as cluster:
            cluster.serve()
            target.close()
            wait_for("connections refused", lambda: cluster.request("e1").outcome == "not-run")
            self.assertEqual(target.total(), 0)


if __name__ == "__main__":
    unittest.main()
