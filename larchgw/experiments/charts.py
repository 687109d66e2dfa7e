"""Line charts as SVG, of a measure against the size of a fleet.

`python -m larchgw.experiments.charts RESULT.json FOLDER` draws those of docs/CAPACITY.md from a result of
`larchgw lab fleet --json RESULT.json`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from pathlib import Path
from typing import Any

WIDTH, HEIGHT = 640, 360  # pixels, with the margins
LEFT, RIGHT, TOP, BOTTOM = 70, 20, 40, 50  # margins
TICKS = 4
COLOURS = ("#1f5fa8", "#b5501b", "#2f7d4f")
BOUND_COLOUR = "#a01c1c"


@dataclass(frozen=True, slots=True)
class Chart:
    """What one chart shows: columns of a result's rows, and the bound that holds for them."""

    file: str
    title: str
    columns: tuple[str, ...]
    bound: float | None = None


CHARTS = (
    Chart(
        "dispatcher-cpu.svg",
        "Processor time of a dispatcher for control, ms a second",
        ("dispatcher ms/s",),
        18.0,
    ),
    Chart(
        "dispatcher-bytes.svg",
        "Bytes a second of a dispatcher for control, sent and received",
        ("rpc B/s out", "rpc B/s in", "most B/s"),
        15_000.0,
    ),
    Chart(
        "control-cpu.svg", "Processor time of a control process, ms a second", ("placer ms/s", "control ms/s")
    ),
    Chart("control-memory.svg", "Memory of the largest control process, MB", ("control MB",)),
    Chart(
        "in-force.svg",
        "Seconds from a configuration's sending until it is in force",
        ("in force p50 s", "in force p99 s", "in force most s"),
        14.0,
    ),
)


def draw(chart: Chart, rows: Sequence[dict[str, Any]], x: str = "dispatchers") -> str:
    """The chart as SVG. The rows need not be sorted; there must be one at least."""
    rows = sorted(rows, key=lambda row: float(row[x]))
    most_x = max(float(row[x]) for row in rows)
    most_y = max([float(row[name]) for row in rows for name in chart.columns] + [chart.bound or 0.0]) or 1.0
    plane = _Plane(most_x, 1.05 * most_y)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        f'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{LEFT}" y="22" font-size="14">{escape(chart.title)}</text>',
        *plane.axes(x),
    ]
    for index, name in enumerate(chart.columns):
        parts += plane.line([(float(row[x]), float(row[name])) for row in rows], COLOURS[index])
        parts.append(
            f'<text x="{LEFT + 10 + 150 * index}" y="{TOP + 2}" fill="{COLOURS[index]}">{escape(name)}</text>'
        )
    if chart.bound is not None:
        parts += plane.bound(chart.bound)
    return "\n".join([*parts, "</svg>", ""])


class _Plane:
    """Where values stand on the paper."""

    def __init__(self, most_x: float, most_y: float) -> None:
        self._most_x, self._most_y = most_x, most_y

    def axes(self, name: str) -> list[str]:
        """Both axes with their ticks."""
        bottom, right = HEIGHT - BOTTOM, WIDTH - RIGHT
        parts = [
            f'<path d="M{LEFT} {TOP}V{bottom}H{right}" fill="none" stroke="black"/>',
            f'<text x="{right}" y="{HEIGHT - 12}" text-anchor="end">{escape(name)}</text>',
        ]
        for tick in range(TICKS + 1):
            x, y = tick * self._most_x / TICKS, tick * self._most_y / TICKS
            parts.append(f'<text x="{self._x(x):.1f}" y="{bottom + 16}" text-anchor="middle">{x:.4g}</text>')
            parts.append(f'<text x="{LEFT - 6}" y="{self._y(y) + 4:.1f}" text-anchor="end">{y:.3g}</text>')
        return parts

    def line(self, points: Sequence[tuple[float, float]], colour: str) -> list[str]:
        """The points, and the line through them."""
        path = " ".join(f"{self._x(x):.1f},{self._y(y):.1f}" for x, y in points)
        return [
            f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>',
            *(
                f'<circle cx="{self._x(x):.1f}" cy="{self._y(y):.1f}" r="3" fill="{colour}"/>'
                for x, y in points
            ),
        ]

    def bound(self, value: float) -> list[str]:
        """A level that must not be passed."""
        y = self._y(value)
        return [
            f'<path d="M{LEFT} {y:.1f}H{WIDTH - RIGHT}" stroke="{BOUND_COLOUR}" stroke-dasharray="6 4"/>',
            f'<text x="{WIDTH - RIGHT}" y="{y - 4:.1f}" text-anchor="end" fill="{BOUND_COLOUR}">'
            f"bound {value:g}</text>",
        ]

    def _x(self, value: float) -> float:
        return LEFT + value / self._most_x * (WIDTH - LEFT - RIGHT)

    def _y(self, value: float) -> float:
        return HEIGHT - BOTTOM - value / self._most_y * (HEIGHT - TOP - BOTTOM)


def main(result: Path, folder: Path) -> None:
    """Draws all charts of the result into the folder, from the rows with the fewest runners."""
    rows = json.loads(result.read_text())["rows"]
    fewest = min(row["runners"] for row in rows)
    rows = [row for row in rows if row["runners"] == fewest]
    folder.mkdir(parents=True, exist_ok=True)
    for chart in CHARTS:
        (folder / chart.file).write_text(draw(chart, rows))


if __name__ == "__main__":
    main(Path(sys.argv[1]), Path(sys.argv[2]))
