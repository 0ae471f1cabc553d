"""Measures the overhead of control traffic for an entry at the target's fleet size, without callers.

Bytes exchanged with the platform are counted by the entries (/metrics). Bytes exchanged with peers are
counted by the kernel for each socket: TCP payload, which includes the overhead of gRPC and HTTP/2.
Processor time covers all threads.
"""
import argparse
import collections
import os
import pathlib
import re
import subprocess
import time

from harness import Cluster, call, wait_for

LIMIT_BYTES, LIMIT_CORE, LIMIT_MB = 29_000, 0.018, 64
SERIES = re.compile(r'plantaindoor_control_(bytes|exchanges)_total\{(.*)\} (\d+)')


def target_fleet(workers, pools, teams):
    """Workers spread over the pools, zones and racks; one service per pool, assigned to the teams in turn."""
    return {
        "teams": [{"id": f"team-{n}"} for n in range(teams)],
        "pools": [{"id": f"pool-{n}"} for n in range(pools)],
        "services": [{"id": f"service-{n}", "team": f"team-{n % teams}", "pools": [f"pool-{n}"],
                      "budget": {"minimum": 1}, "idempotent": False} for n in range(pools)],
        "instances": [{"id": f"worker-{n}", "pool": f"pool-{n % pools}", "zone": "abcdef"[n % 6],
                       "rack": f"rack-{n // 20}", "address": "127.0.0.1", "port": 9}
                      for n in range(workers)]}


def part_bytes(metrics):
    """Returns the bytes and calls of each part, summed over both directions."""
    found = collections.Counter()
    for kind, labels, value in SERIES.findall(metrics):
        part = re.search(r'part="([^"]*)"', labels).group(1)
        found[part if kind == "bytes" else part + " calls"] += int(value)
    return found


def peer_bytes(cluster):
    """Returns the bytes sent and received by each entry on sockets with an end at a peer listener."""
    ports = {e.endpoints["peers"].rsplit(":", 1)[1] for e in cluster.entries.values()}
    names = {e.child.pid: n for n, e in cluster.entries.items()}
    ss_output = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    found = collections.Counter()
    for line in ss_output.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        ends = [end.rsplit(":", 1)[-1] for end in line.split()[3:5]]
        if owner and int(owner.group(1)) in names and ports.intersection(ends):
            for kind in ("bytes_sent", "bytes_received"):
                counted = re.search(rf"{kind}:(\d+)", line)
                found[names[int(owner.group(1))]] += int(counted.group(1)) if counted else 0
    return found


def processor_s(pid):
    """Returns the processor time in seconds of the main (loop) thread and of all others together."""
    found = collections.Counter()
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        spent = int((task / "schedstat").read_text().split()[0]) / 1e9
        found["loop" if task.name == str(pid) else "other threads"] += spent
    return found


def resident_mb(pid):
    return int(re.search(r"VmRSS:\s+(\d+)", pathlib.Path(f"/proc/{pid}/status").read_text()).group(1)) / 1024


def sample(cluster):
    peers = peer_bytes(cluster)
    samples = {}
    for name, entry in cluster.entries.items():
        figures = part_bytes(call(cluster.operators_address(name), "GET", "/metrics").body.decode())
        figures["peers"] = peers[name]
        samples[name] = (time.monotonic(), figures, processor_s(entry.child.pid))
    return samples


def rates(before, after):
    """Returns the figures of each entry per second."""
    return {name: (collections.Counter({k: (v - before[name][1][k]) / (after[name][0] - start)
                                        for k, v in bytes_now.items()}),
                   collections.Counter({k: (v - before[name][2][k]) / (after[name][0] - start)
                                        for k, v in spent.items()}))
            for name, (_, bytes_now, spent) in after.items() for start in [before[name][0]]}


def total_bytes(figures):
    return sum(v for k, v in figures.items() if not k.endswith(" calls"))


def report(cluster, found):
    count = len(found)
    parts = sorted({k for b, _ in found.values() for k in b if not k.endswith(" calls")})
    print(f"{'part':14}{'bytes/s, mean':>15}{'most':>10}{'calls/s':>10}")
    for part in parts:
        values = [b[part] for b, _ in found.values()]
        calls = sum(b[part + ' calls'] for b, _ in found.values()) / count
        print(f"{part:14}{sum(values) / count:15.0f}{max(values):10.0f}{calls:10.2f}")
    totals = [total_bytes(b) for b, _ in found.values()]
    cores = [sum(c.values()) for _, c in found.values()]
    memory = [resident_mb(e.child.pid) for e in cluster.entries.values()]
    loop = sum(c["loop"] for _, c in found.values()) / count
    print(f"{'all':14}{sum(totals) / count:15.0f}{max(totals):10.0f}   of {LIMIT_BYTES}")
    print(f"core: mean {sum(cores) / count:.2%}, most {max(cores):.2%} of {LIMIT_CORE:.1%};"
          f" the loop's thread {loop:.2%}")
    print(f"resident: mean {sum(memory) / count:.1f} MB, most {max(memory):.1f} MB of {LIMIT_MB}")


def run(options):
    with Cluster(targets=0, entries=0) as cluster:
        cluster.fault_platform(untagged=options.untagged)
        for n in range(options.workers):
            cluster.register_instance(f"worker-{n}", "target", address="127.0.0.1:9")
        for n in range(options.entries):
            cluster.start_entry(f"entry-{n}", "abc"[n % 3])
        cluster.wait_ready()
        fleet = target_fleet(options.workers, options.pools, options.teams)
        cluster.wait_version(cluster.apply(fleet))
        wait_for("the cluster to settle", elapsed(options.settle))
        before = sample(cluster)
        wait_for("the measurement to end", elapsed(options.seconds))
        after = sample(cluster)
        print(f"{options.entries} entries, {options.workers} workers, {options.pools} pools,"
              f" {options.seconds} s, list {'whole' if options.untagged else 'tagged'},"
              f" load average {os.getloadavg()[0]:.1f}")
        report(cluster, rates(before, after))


def elapsed(seconds):
    end = time.monotonic() + seconds
    return lambda: time.monotonic() >= end


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=7)
    parser.add_argument("--workers", type=int, default=1700)
    parser.add_argument("--pools", type=int, default=61)
    parser.add_argument("--teams", type=int, default=230)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--settle", type=int, default=15)
    parser.add_argument("--untagged", action="store_true", help="let the platform always send its whole list")
    run(parser.parse_args())
