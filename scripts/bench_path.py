"""Starts what path_bench needs and passes its arguments on."""
import subprocess
import sys

from harness import BUILD, Cluster

TARGETS = 8

if __name__ == "__main__":
    with Cluster(targets=TARGETS, entries=1) as cluster:
        cluster.wait_version(cluster.apply())
        sys.exit(subprocess.run(
            [BUILD / "bench/path_bench", "--direct", cluster.target_at("w1"),
             "--entry", cluster.callers_at("e1"), "--pid", str(cluster.entries["e1"].child.pid),
             *sys.argv[1:]], check=False).returncode)
