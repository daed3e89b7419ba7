"""Measure the processor time of the imports and of the whole start of each role's process.

``python -m benchmarks.start`` prints a table; ``--modules 20`` adds the slowest modules of each
role. A host with a third of a core takes three times as long as the table says. The lines
"started" are whole processes of the platform, until they log that they have started.
"""

import json
import os
import re
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

import typer

RUNS = 10
ROLES = ("gateway", "replica")
PROGRAMS = {
    "interpreter": "pass",
    "asyncio": "import asyncio",
    "gateway": "import marjorambridge.platform.main, marjorambridge.daemon.gateway,"
    " marjorambridge.platform.dialect, marjorambridge.platform.documents,"
    " marjorambridge.platform.readiness",
    "replica": "import marjorambridge.platform.main, marjorambridge.daemon.replica,"
    " marjorambridge.platform.operations",
}
IMPORT_LINE = re.compile(r"import time:\s+(\d+) \|\s+(\d+) \|\s*(\S+)")


def measure_seconds(program: str) -> float:
    """Return the processor time in seconds of a process that runs a program."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", program], check=True, env=_make_environment())
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def measure_start_seconds(role: str) -> float:
    """Return the processor time in seconds of a process until it logs that it has started."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_text(json.dumps(_make_settings(role, folder)))
        environment = _make_environment() | {"MARJORAMBRIDGE_NODE_FILE": str(path)}
        command = [sys.executable, "-m", "marjorambridge.platform", role]
        with subprocess.Popen(command, env=environment, stdout=subprocess.PIPE) as process:
            try:
                while b"has started" not in process.stdout.readline():
                    if process.poll() is not None:
                        raise RuntimeError(f"the {role} has ended; run it to see why")
                return _read_processor_seconds(process.pid)
            finally:
                process.kill()


def _read_processor_seconds(pid: int) -> float:
    # The first number is the time in nanoseconds; /proc/PID/stat counts in steps of 10 ms.
    return sum(
        int((task / "schedstat").read_text().split()[0]) / 1e9
        for task in Path(f"/proc/{pid}/task").iterdir()
    )


def _make_settings(role: str, folder: str) -> dict[str, object]:
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(4)]
        for unused in sockets:
            unused.bind(("127.0.0.1", 0))
        peer, first, second, metrics = (unused.getsockname()[1] for unused in sockets)
    settings = {
        "host": "h1",
        "ip": "127.0.0.1",
        "zone": "z0",
        "zones": {"z0": "r"},
        "seeds": [f"127.0.0.1:{first}"],
        "peer_ports": [peer, peer],
        "metrics_port": metrics,
        "bootstrap": True,
    }
    if role == "replica":
        return settings | {"control": f"127.0.0.1:{first}", "data_folder": f"{folder}/data"}
    return settings | {"callers": f"127.0.0.1:{first}", "readiness": f"127.0.0.1:{second}"}


def list_modules(program: str) -> list[tuple[float, str]]:
    """Return modules with the milliseconds that each took without its own imports."""
    command = [sys.executable, "-X", "importtime", "-c", program]
    output = subprocess.run(command, check=True, capture_output=True, env=_make_environment())
    found = [
        (int(match[1]) / 1_000, match[3]) for match in IMPORT_LINE.finditer(output.stderr.decode())
    ]
    return sorted(found, reverse=True)


def _make_environment() -> dict[str, str]:
    # Compiled modules are used, as they are on a host.
    return {name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"}


def main(modules: int = 0) -> None:
    """Print the median and minimum of several runs, and the ratio of the median to asyncio's."""
    results: dict[str, list[float]] = {
        name: [] for name in (*PROGRAMS, *(f"{role} started" for role in ROLES))
    }
    for _ in range(RUNS):
        for name, program in PROGRAMS.items():
            results[name].append(measure_seconds(program))
        for role in ROLES:
            results[f"{role} started"].append(measure_start_seconds(role))
    asyncio_seconds = statistics.median(results["asyncio"])
    for name, seconds in results.items():
        median = statistics.median(seconds)
        print(
            f"{name:15} {median:.3f} s, least {min(seconds):.3f} s, {median / asyncio_seconds:.2f}"
        )
        for milliseconds, module in (
            list_modules(PROGRAMS[name])[:modules] if name in PROGRAMS else []
        ):
            print(f"    {milliseconds:6.1f} ms {module}")


if __name__ == "__main__":
    typer.run(main)
