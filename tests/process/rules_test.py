"""Rules in real processes: a fact becomes true, the first matching rule acts, the journal says why."""
import json
import signal
import time
import unittest

from harness import Cluster, call, wait_for

LOST_ZONE = {"rule": "lost-zone", "when": {"lost_zones": {"at_least": 1}}, "then": {"hold": "wave"},
             "for_seconds": 2, "clear_seconds": 3}
LOST_TWO = {"rule": "lost-two", "when": {"lost_zones": {"at_least": 2}}, "then": {"abort": "wave"}}


def post(cluster, entry, path, body=""):
    text = body if isinstance(body, str) else json.dumps(body)
    return call(cluster.operators_address(entry), "POST", path, text)


def wave_state(cluster, entry):
    answer = call(cluster.operators_address(entry), "GET", "/v1/waves/m1", timeout_s=5)
    return answer.json()["state"] if answer.status == 200 else None


def journal(cluster, entry, limit=100):
    answer = call(cluster.operators_address(entry), "GET", f"/v1/journal?limit={limit}")
    assert answer.status == 200, (answer.status, answer.body)
    return answer.json()


def rule_actions(cluster, entry):
    return [i["action"] for i in journal(cluster, entry)["items"] if i["part"] == "rule"]


class RulesTest(unittest.TestCase):
    def rules_cluster(self):
        return Cluster(targets=6, entries=3, service={"budget": {"minimum": 1}},
                       entry_settings={"timings": {"list_lag_ms": 1000}})

    def apply_rules(self, cluster, rules):
        fleet = cluster.fleet()
        fleet["pools"].append({"id": "spare"})
        for each in fleet["instances"]:
            # The wave covers only "checks", so that no reboot makes zone a live again.
            each["pool"] = "spare" if each["zone"] == "a" else "checks"
        fleet["rules"] = rules
        answer = post(cluster, "e1", "/v1/apply", fleet)
        self.assertEqual(answer.status, 200, answer.body)
        cluster.wait_version(answer.json()["version"])
        return answer.json()

    def start_wave(self, cluster, entry="e1"):
        answer = post(cluster, entry, "/v1/waves", {"id": "m1", "pools": ["checks"],
                                                    "max_parallel": 1})
        self.assertEqual(answer.status, 200, answer.body)

    def set_zone_a(self, cluster, state):
        for name in ("w1", "w4"):
            cluster.register_instance(name, "target", state=state, address=cluster.target_address(name))

    def test_lost_zone_holds_the_wave_until_it_is_back(self):
        with self.rules_cluster() as cluster:
            applied = self.apply_rules(cluster, [LOST_ZONE, LOST_TWO])
            self.assertEqual(applied["warnings"],
                             ["rule lost-two: conflict with earlier rule lost-zone"])
            self.set_zone_a(cluster, "leaving")
            self.start_wave(cluster)
            wait_for("wave held", lambda: wave_state(cluster, "e2") == "paused", 40)
            received = post(cluster, "e3", "/v1/rules/explain").json()
            self.assertEqual((received["matched"], received["action"]), ("lost-zone", "hold every wave"))
            wait_for("journal written", lambda: "wave-held" in rule_actions(cluster, "e3"))
            held = [i for i in journal(cluster, "e3")["items"] if i["action"] == "wave-held"]
            self.assertEqual((len(held), held[0]["rule"]), (1, "lost-zone"))
            self.assertIn({"name": "lost_zones", "value": "1"}, held[0]["facts"])
            self.assertIn("wave-held by rule lost-zone",
                          post(cluster, "e2", "/v1/rules/explain").json()["done"])
            self.set_zone_a(cluster, "live")
            wait_for("wave resumed", lambda: wave_state(cluster, "e2") == "running", 40)
            wait_for("both in the journal",
                     lambda: rule_actions(cluster, "e1") == ["wave-held", "hold-undone"])

    def test_another_entry_takes_over_after_the_leader_is_killed(self):
        with self.rules_cluster() as cluster:
            self.apply_rules(cluster, [LOST_ZONE])
            leader = wait_for("a leader", lambda: self.leader(cluster))
            cluster.entries[leader].end(signal.SIGKILL)
            cluster.register_instance(leader, "entry", state="gone")
            self.set_zone_a(cluster, "leaving")
            other = next(n for n in cluster.entries if n != leader)
            self.start_wave(cluster, other)
            wait_for("wave held", lambda: wave_state(cluster, other) == "paused", 60)

    @staticmethod
    def leader(cluster):
        """Returns the leader. Rules are evaluated only there, so only its explain has the time for which
        a condition has been steady."""
        for name in cluster.entries:
            received = post(cluster, name, "/v1/rules/explain").json()
            if "decided" in received:
                return name
        return None

    def test_explain_answers_for_given_facts_and_changes_nothing(self):
        with self.rules_cluster() as cluster:
            night = {"rule": "night", "when": {"hour": {"from": 22, "to": 6}}, "then": {"hold": "wave"},
                     "for_seconds": 86400}
            version = self.apply_rules(cluster, [LOST_TWO, night])["version"]
            received = post(cluster, "e2", "/v1/rules/explain", {"lost_zones": 1, "hour": 23}).json()
            self.assertEqual((received["matched"], received["version"]), ("night", version))
            self.assertEqual(received["rules"][0]["why_not"], "lost_zones is 1, must be at least 2")
            received = post(cluster, "e2", "/v1/rules/explain", {"hour": 12}).json()
            self.assertEqual(received["matched"], "")
            self.assertIn("unknown", received["rules"][0]["why_not"])
            bad = post(cluster, "e2", "/v1/rules/explain", {"moon": 1, "hour": "late"})
            self.assertEqual(bad.status, 400, bad.body)
            self.assertEqual(cluster.status("e2")["version"], version)

    def test_faulty_rules_are_refused_whole(self):
        with self.rules_cluster() as cluster:
            cluster.wait_version(cluster.apply())
            faulty = [{"rule": "a", "when": {"lost_zones": {"at_least": "many"}}, "then": {"hold": "wave"}},
                      {"rule": "b", "when": {}, "then": {"refuse": "loud"}}]
            for path, body in (("/v1/rules/check", {"rules": faulty}),
                               ("/v1/apply", {**cluster.fleet(), "rules": faulty})):
                answer = post(cluster, "e1", path, body)
                self.assertEqual(answer.status, 400, answer.body)
                self.assertIn("rules[0].when.lost_zones.at_least", answer.body.decode())
                self.assertIn("rules[1].then.refuse", answer.body.decode())
                self.assertIn("urgent|interactive|background", answer.body.decode())
            self.assertEqual(cluster.status("e1")["version"], 1)
            checked = post(cluster, "e1", "/v1/rules/check", {"rules": [LOST_ZONE, LOST_TWO]})
            self.assertEqual((checked.status, checked.json()["rules"]), (200, 2))

    def test_journal_answers_from_memory_while_the_platform_is_down(self):
        with self.rules_cluster() as cluster:
            self.apply_rules(cluster, [LOST_ZONE])
            self.assertTrue(journal(cluster, "e1")["complete"])
            cluster.platform.end(signal.SIGKILL)
            asked = time.monotonic()
            self.assertFalse(journal(cluster, "e1")["complete"])
            self.assertLess(time.monotonic() - asked, 10)


if __name__ == "__main__":
    unittest.main()
