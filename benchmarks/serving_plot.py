"""Draw the time to first token by prompt length from the JSON line of ``benchmarks.serving``.

Run ``python -m benchmarks.serving SITE LOAD | python -m benchmarks.serving_plot FILE``; it needs
the extra ``benchmarks`` of the package.
"""

import json
import sys
from typing import Any

from matplotlib.figure import Figure

SYSTEMS = {"marjorambridge": "tab:blue", "naive": "tab:orange"}
STYLES = {"p50": "-", "p95": "--"}


def draw(result: dict[str, Any], path: str) -> None:
    """Draw both systems' percentiles with long jobs present and save the figure."""
    figure = Figure(figsize=(7, 4.5), layout="constrained")
    axes = figure.add_subplot()
    for system, color in SYSTEMS.items():
        by_length = result[system]["mixed"]["by_length"]
        for percentile, style in STYLES.items():
            points = [
                (int(tokens), row[percentile])
                for tokens, row in by_length.items()
                if row[percentile] is not None
            ]
            axes.plot(*zip(*points, strict=True), style, color=color, marker="o", markersize=3)
            axes.lines[-1].set_label(f"{system}, {percentile}")
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="prompt length (tokens)",
        ylabel="time to first token (s)",
        title=f"{result['site']}, {result['load']}: {result['engines']} engines, 8 hosts",
    )
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path)


def run() -> None:
    """Read the first line of standard input and draw it to the file named by the argument."""
    draw(json.loads(sys.stdin.readline()), sys.argv[1])


if __name__ == "__main__":
    run()
