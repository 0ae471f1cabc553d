"""Runs clang-tidy on the given sources; skips those whose input is unchanged since a clean run."""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

BUILD = pathlib.Path("build/release")
CACHE = pathlib.Path(os.environ["LINT_CACHE"])
TIDY = ["clang-tidy", "-p", str(BUILD), "--quiet", "--extra-arg=-Wno-unknown-warning-option"]
IGNORED_OUTPUT = ("warnings generated", "Suppressed", "Use -header-filter")


def compile_commands():
    entries = json.loads((BUILD / "compile_commands.json").read_text())
    return {os.path.realpath(entry["file"]): entry for entry in entries}


def input_hash(source, entry):
    """Returns a hash of everything that affects the findings, or None if preprocessing fails."""
    arguments = shlex.split(entry["command"])
    if os.path.basename(arguments[0]) == "ccache":
        arguments = arguments[1:]
    output = arguments.index("-o")
    flags = arguments[1:output] + arguments[output + 2:]
    flags.remove("-c")
    # Comments are included because of NOLINT, line markers because the header filter uses them.
    run = subprocess.run([arguments[0], *flags, "-E", "-C"], cwd=entry["directory"],
                         capture_output=True, check=False)
    if run.returncode != 0:
        return None
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    digest = hashlib.sha256()
    root = os.getcwd().encode()
    for part in (" ".join(flags).encode(), version, pathlib.Path(".clang-tidy").read_bytes(),
                 " ".join(TIDY).encode(), source.encode(), run.stdout):
        digest.update(part.replace(root, b"."))
        digest.update(b"\0")
    return digest.hexdigest()


def lint(source, entry):
    """Returns whether the source is clean."""
    clean_marker = None
    if entry is not None:
        digest = input_hash(source, entry)
        clean_marker = CACHE / digest if digest else None
    if clean_marker is not None and clean_marker.exists():
        os.utime(clean_marker)
        return True
    run = subprocess.run([*TIDY, source], capture_output=True, text=True, check=False)
    sys.stdout.write(run.stdout)
    for line in run.stderr.splitlines():
        if line and not any(ignored in line for ignored in IGNORED_OUTPUT):
            print(line, file=sys.stderr)
    if run.returncode == 0 and clean_marker is not None and not run.stdout:
        clean_marker.touch()
    return run.returncode == 0


def main():
    commands = compile_commands()
    clean = [lint(source, commands.get(os.path.realpath(source))) for source in sys.argv[1:]]
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())
