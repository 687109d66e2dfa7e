"""Generates random variants of a bench site file, to test the system on deployments it was not tuned for.

    python deploy/sites/draw_system.py SITE.toml SEED TARGET.toml

The script varies weight store, load times, memory, adapters, latency targets, traffic and the weights of
the goal. Days keep their names and troubles, so that `fleetbench run TARGET.toml DAY` can run one of them.
The file `wire.json` of SITE must be in the directory of TARGET.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random


def scaled(text: str, field: str, factor: Callable[[], float]) -> str:
    """Multiplies every value of a field by the result of a separate call of `factor`."""

    def scale(match: re.Match[str]) -> str:
        value = float(match[1]) * factor()
        return f"{field} = {value:.3f}" if "." in match[1] else f"{field} = {max(round(value), 1)}"

    return re.sub(rf"(?<!\w){field} = ([0-9.]+)", scale, text)


def draw(site: str, random: Random) -> str:
    """Returns the text of the site with randomly changed numbers."""
    load_factor = random.uniform(0.5, 2.0)
    traffic_factor = random.uniform(0.6, 1.15)
    memory_factor = random.uniform(0.8, 1.5)
    head, weights_mark, rest = site.partition("[weights]")
    weights, days_mark, days = rest.partition("[[day]]")
    weights = scaled(weights, "per_s", lambda: random.uniform(0.5, 3.0))
    head = scaled(head, "load_s", lambda: load_factor)
    head = scaled(head, "aim_ms", lambda: random.uniform(0.75, 1.5))
    head = scaled(head, "kv_tokens", lambda: memory_factor)
    head = re.sub(r"adapter_slots = \d+", f"adapter_slots = {random.choice((4, 8, 12))}", head)
    head = scaled(head, "per_s", lambda: traffic_factor)
    days = scaled(days, "per_s", lambda: traffic_factor)
    window, by_class = random.uniform(0.1, 0.3), random.uniform(0.1, 0.4)
    goal = f"[goal]\nmean = {1.0 - window - by_class:.3f}\nwindow = {window:.3f}\nclass = {by_class:.3f}\n"
    head = re.sub(r"\[goal\]\nmean = .*\nwindow = .*\nclass = .*\n", goal, head)
    return "".join((head, weights_mark, weights, days_mark, days))


def main(site: Path, seed: int, target: Path) -> None:
    """Writes a variant of the site."""
    target.write_text(draw(site.read_text(encoding="utf-8"), Random(seed)), encoding="utf-8")


if __name__ == "__main__":
    main(Path(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3]))
