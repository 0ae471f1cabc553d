"""Starts a platform, 6 targets and 3 entries in 3 zones; sends requests of each class, drains an
instance under load, kills an entry, and prints the outcomes that callers received. Fails if any answer
was lost, doubled, partial or false, or if a drained target cut off a request."""
import json
import os
import signal
import subprocess
import sys

from harness import BUILD, Cluster, Load, judge, wait_for

CLASSES = ("urgent", "interactive", "background")
SERVICE_MS = 15


def ctl(cluster, *words):
    """Runs plantainctl with the addresses of all live entries."""
    entries = [f"--entry={e.endpoints['operators']}" for e in cluster.entries.values()
               if e.child.poll() is None]
    done = subprocess.run([BUILD / "apps/plantainctl", *entries, "--as", "demo", *words],
                          capture_output=True, text=True, check=False)
    print("$ plantainctl", " ".join(words))
    print((done.stdout + done.stderr).rstrip())
    return done


def apply_fleet(cluster):
    path = os.path.join(cluster.folder, "fleet.yaml")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(cluster.fleet(), file)
    assert ctl(cluster, "apply", "-f", path).returncode == 0
    cluster.wait_version(1)


def wait_for_answers(loads, count=60):
    """Waits until each class has received `count` more answers."""
    goals = [load.count() + count for load in loads]
    for load, goal in zip(loads, goals):
        wait_for("answers", lambda l=load, g=goal: l.count() >= g)


def main():
    with Cluster(targets=6, entries=3, service_ms=SERVICE_MS) as cluster:
        apply_fleet(cluster)
        loads = [Load(cluster, list(cluster.entries), callers=2,
                      headers={"Plantaindoor-Priority": name}) for name in CLASSES]
        wait_for_answers(loads)
        drained = ctl(cluster, "drain", "w1", "--reason", "demo")
        wait_for_answers(loads)
        ctl(cluster, "get", "instances")
        print("kill -9 of entry e2")
        cluster.entries["e2"].end(signal.SIGKILL)
        wait_for_answers(loads)
        if drained.returncode == 0:
            ctl(cluster, "undrain", "w1")
        ctl(cluster, "status")
        answers = [load.stop() for load in loads]
        return report(answers, cluster)


def report(answers, cluster):
    runs = cluster.runs()
    print(f"\n{'class':<14}{'answered':>9}{'not-run':>9}{'unknown':>9}{'cut off':>9}"
          f"{'lost':>6}{'doubled':>9}{'partial':>9}{'false not-run':>15}")
    for name, part in zip(CLASSES, answers):
        verdict = judge(part, runs)
        print(f"{name:<14}{verdict.answered:>9}{verdict.not_run:>9}{verdict.unknown:>9}"
              f"{verdict.unanswered:>9}{verdict.lost:>6}{'':>9}{verdict.partial:>9}"
              f"{verdict.false_not_run:>15}")
    total = judge([each for part in answers for each in part], runs)
    cut_by_targets = cluster.cut()
    print(f"{'all':<14}{total.answered:>9}{total.not_run:>9}{total.unknown:>9}"
          f"{total.unanswered:>9}{total.lost:>6}{total.doubled:>9}{total.partial:>9}"
          f"{total.false_not_run:>15}")
    print("'cut off' callers had their connection closed by the killed entry and received no answer.")
    failures = {"lost": total.lost, "doubled": total.doubled, "partial": total.partial,
                "false not-run": total.false_not_run, "cut off by a target": cut_by_targets}
    print(f"demo: {len(runs)} requests ran; {total.unanswered} cut off by the killed entry;",
          ", ".join(f"{count} {name}" for name, count in failures.items()))
    return 1 if any(failures.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
