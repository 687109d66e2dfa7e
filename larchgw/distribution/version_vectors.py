"""Version vectors as they are sent, and the cursors that travel in them.

A version vector maps an origin (one life of one process) to a sequence: "of each update that this origin made
up to there, I hold the entry or one of its key that is as new or newer". A cursor says how far a caller has
read one registry in the order in which that registry took its entries. It is sent in the same map, under
CURSOR and the registry's origin, and means something to that registry only.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

CURSOR = "@"  # begins the name of a cursor; no origin begins with it
LIFE_BITS = 32  # random part of an origin: two lives of one process must not share it

Vector = dict[str, int]


def new_origin(node_name: str, dice: random.Random) -> str:
    """A name for this life of the process, to be used as its registry's origin and its directory's owner."""
    return f"{node_name}.{dice.getrandbits(LIFE_BITS):08x}"


def cursor_name(origin: str) -> str:
    """Under which name the cursor of that origin's registry is sent."""
    return CURSOR + origin


def cursors(sent: Mapping[str, int]) -> Vector:
    """The cursors in a map of a pull."""
    return {name: at for name, at in sent.items() if name.startswith(CURSOR)}


def without_cursors(sent: Mapping[str, int]) -> Vector:
    """The version vector in a map of a pull."""
    return {origin: at for origin, at in sent.items() if not origin.startswith(CURSOR)}
