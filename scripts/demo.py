"""Starts a platform, 6 targets and 3 entries in 3 zones; sends requests of each class, drains an
instance under load, kills an entry, and prints what the callers were told. Fails if any request was
lost, doubled or cut."""
import json
import os
import signal
import subprocess
import sys

from harness import BUILD, Cluster, Load, judge, wait_for

CLASSES = ("urgent", "interactive", "background")
SERVICE_MS = 15


def ctl(cluster, *words):
    """Runs plantainctl against every entry that is alive."""
    entries = [f"--entry={e.endpoints['operators']}" for e in cluster.entries.values()
               if e.child.poll() is None]
    done = subprocess.run([BUILD / "apps/plantainctl", *entries, "--as", "demo", *words],
                          capture_output=True, text=True, check=False)
    print("$ plantainctl", " ".join(words))
    print((done.stdout + done.stderr).rstrip())
    return done


def applied(cluster):
    path = os.path.join(cluster.folder, "fleet.yaml")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(cluster.fleet(), file)
    assert ctl(cluster, "apply", "-f", path).returncode == 0
    cluster.wait_version(1)


def more(loads, count=60):
    """Waits until each class has this many more answers."""
    goals = [load.count() + count for load in loads]
    for load, goal in zip(loads, goals):
        wait_for("answers", lambda l=load, g=goal: l.count() >= g)


def main():
    with Cluster(targets=6, entries=3, service_ms=SERVICE_MS) as cluster:
        applied(cluster)
        loads = [Load(cluster, list(cluster.entries), callers=2,
                      headers={"Plantaindoor-Priority": name}) for name in CLASSES]
        more(loads)
        drained = ctl(cluster, "drain", "w1", "--reason", "demo")
        more(loads)
        ctl(cluster, "get", "instances")
        print("kill -9 of entry e2")
        cluster.entries["e2"].end(signal.SIGKILL)
        more(loads)
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
    whole = judge([each for part in answers for each in part], runs)
    harmed = whole.lost + whole.doubled + whole.partial + whole.false_not_run + cluster.cut()
    print(f"{'all':<14}{whole.answered:>9}{whole.not_run:>9}{whole.unknown:>9}"
          f"{whole.unanswered:>9}{whole.lost:>6}{whole.doubled:>9}{whole.partial:>9}"
          f"{whole.false_not_run:>15}")
    print("'cut off' callers had their connection closed by the killed entry and were told nothing.")
    print("demo:", "failed" if harmed else "no request was lost, doubled or cut")
    return 1 if harmed else 0


if __name__ == "__main__":
    sys.exit(main())
