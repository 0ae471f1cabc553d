"""Starts the processes that path_bench needs and runs it with the given arguments."""
import subprocess
import sys

from harness import BUILD, Cluster

CONNECTIONS = 64

if __name__ == "__main__":
    with Cluster(targets=1, entries=1) as cluster:
        cluster.fault_target("w1", service_ms=0, slots=2 * CONNECTIONS)
        fleet = cluster.fleet()
        fleet["instances"][0]["slots"] = CONNECTIONS
        cluster.wait_version(cluster.apply(fleet))
        sys.exit(subprocess.run(
            [BUILD / "bench/path_bench", "--direct", cluster.target_address("w1"),
             "--entry", cluster.callers_address("e1"), "--pid", str(cluster.entries["e1"].child.pid),
             *sys.argv[1:]], check=False).returncode)
