"""Observability of requests: a span per hop, metrics, and log lines with their part."""
import pathlib
import unittest

from harness import Cluster, call, wait_for

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"


class ObserveTest(unittest.TestCase):
    def test_spans_of_one_request_form_one_trace_over_its_hops(self):
        with Cluster(targets=1, entries=2) as cluster:
            cluster.wait_version(cluster.apply())
            answer = cluster.request("e1", headers={"traceparent": f"00-{TRACE}-{PARENT}-01"})
            spans = call(cluster.operators_address("e1"), "GET", "/traces").json()
            mine = {s["name"]: s for s in spans if s["trace_id"] == TRACE}
            self.assertEqual(set(mine), {"caller -> entry", "entry -> target"})
            first, second = mine["caller -> entry"], mine["entry -> target"]
            self.assertEqual((first["parent_id"], second["parent_id"]), (PARENT, first["span_id"]))
            self.assertEqual(answer.json()["traceparent"], f"00-{TRACE}-{second['span_id']}-01")
            self.assertIn("entry -> platform", {s["name"] for s in spans})
            wait_for("an exchange with a peer", lambda: "entry -> peer" in {
                s["name"] for s in call(cluster.operators_address("e1"), "GET", "/traces").json()})

    def test_metrics_count_outcomes_that_callers_received(self):
        with Cluster(targets=1, entries=1) as cluster:
            cluster.wait_version(cluster.apply())
            for _ in range(3):
                self.assertEqual(cluster.request("e1").outcome, "answered")
            text = call(cluster.operators_address("e1"), "GET", "/metrics").body.decode()
            self.assertIn('plantaindoor_requests_total{priority="interactive",outcome="answered"} 3\n',
                          text)
            self.assertIn("plantaindoor_version 1\n", text)

    def test_metrics_count_claims_and_ejections(self):
        with Cluster(targets=4, entries=1) as cluster:
            cluster.wait_version(cluster.apply())

            def metrics():
                return call(cluster.operators_address("e1"), "GET", "/metrics").body.decode()

            def claim(key, body=b"", path="/spell/check"):
                cluster.request("e1", body, path, {"Idempotency-Key": key})
                wait_for("the end's record", lambda: "plantaindoor_claims_unsettled 0\n" in metrics())

            # The target repeats the path, and an answer of more than 4 KB is not recorded.
            long_path = "/spell/" + 5000 * "x"
            for key, path in (("short", "/spell/check"), ("long", long_path)):
                for _ in range(2):
                    claim(key, path=path)
            claim("short", b"another body")
            cluster.fault_target("w1", mode="fail-all")
            wait_for("an ejection", lambda: cluster.request("e1") and
                     'plantaindoor_ejections_total{service="spell"} 1\n' in metrics())
            text = metrics()
            self.assertIn('plantaindoor_claims_total{verdict="granted"} 2\n', text)
            for verdict in ("replayed", "refused", "unknown"):
                self.assertIn(f'plantaindoor_claims_total{{verdict="{verdict}"}} 1\n', text)
            self.assertIn('plantaindoor_ejected_targets{service="spell"} 1\n', text)

    def test_log_names_the_part_of_each_line(self):
        with Cluster(targets=1, entries=1) as cluster:
            cluster.wait_version(cluster.apply())
            log = pathlib.Path(cluster.folder) / "e1.log"
            wait_for("the log", lambda: "version: version 1 is in force" in log.read_text())


if __name__ == "__main__":
    unittest.main()
