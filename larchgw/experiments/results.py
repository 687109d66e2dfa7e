"""What an experiment gives: rows of a table, and the figures of its last line."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from multiprocessing import get_context
from pathlib import Path
from statistics import median
from typing import TypeVar

Row = Mapping[str, object]
A = TypeVar("A")
B = TypeVar("B")


@dataclass(slots=True)
class Options:
    """What every experiment is told."""

    seed: int = 1
    seeds: int = 5
    seconds: float = 60.0
    jobs: int = field(default_factory=lambda: max((os.cpu_count() or 2) - 1, 1))


@dataclass(slots=True)
class Result:
    """`figures` make the last line; `notes` stand under the table."""

    name: str
    rows: list[dict[str, object]] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def last_line(self) -> str:
        return f"{self.name}: " + " ".join(f"{n}={v:.4g}" for n, v in self.figures.items())

    def save(self, path: Path, options: Options) -> None:
        path.write_text(json.dumps(asdict(self) | {"options": asdict(options)}, indent=1) + "\n")


@dataclass(frozen=True, slots=True)
class Spread:
    """Median and range of some runs."""

    middle: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.middle:.3f} ({self.low:.3f}..{self.high:.3f})"


def spread(values: Iterable[float]) -> Spread:
    """Of at least one value."""
    known = sorted(values)
    return Spread(median(known), known[0], known[-1])


def table(rows: Sequence[Row]) -> list[str]:
    """Lines of a plain table, columns as the first row names them."""
    if not rows:
        return []
    names = list(rows[0])
    cells = [names, *([_cell(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]
    return [lines[0], "  ".join("-" * width for width in widths), *lines[1:]]


def _cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def spread_out(run: Callable[[A], B], work: Sequence[A], jobs: int) -> list[B]:
    """Each piece of work in a process of its own kind, so many at a time, in the order given."""
    if jobs <= 1 or len(work) <= 1:
        return [run(one) for one in work]
    # Started anew, not forked: a fork of a program with threads may hang in a lock that one of them held.
    with ProcessPoolExecutor(min(jobs, len(work)), mp_context=get_context("spawn")) as pool:
        return list(pool.map(run, work, chunksize=1))
