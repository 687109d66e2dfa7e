"""Version vectors as they are sent, and the read cursors that travel in them.

A version vector maps an origin (one incarnation of a process) to a sequence number: "of each update that this
origin made up to there, I hold the entry or one of its key that is as new or newer". A cursor says how far a
caller has read one registry in the order in which that registry stored its entries. It is sent in the same
map, under CURSOR_PREFIX and the registry's origin, and means something to that registry only.

Source: Parker and others, "Detection of Mutual Inconsistency in Distributed Systems", IEEE TSE 1983;
DeCandia and others, "Dynamo", SOSP 2007, section 4.4.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from ..identifiers import Origin

CURSOR_PREFIX = "@"  # begins the key of a cursor; no origin begins with it
INCARNATION_BITS = 32  # random part of an origin: two incarnations of one process must not share it

VersionVector = dict[str, int]


def new_origin(node_name: str, random_source: random.Random) -> Origin:
    """Returns a name for this incarnation of the process: its registry's origin, its directory's owner."""
    return Origin(f"{node_name}.{random_source.getrandbits(INCARNATION_BITS):08x}")


def cursor_key(origin: str) -> str:
    """Returns the key under which the cursor of that origin's registry is sent."""
    return CURSOR_PREFIX + origin


def cursors(sent: Mapping[str, int]) -> VersionVector:
    """Returns the cursors in a map of a pull."""
    return {name: position for name, position in sent.items() if name.startswith(CURSOR_PREFIX)}


def without_cursors(sent: Mapping[str, int]) -> VersionVector:
    """Returns the version vector in a map of a pull."""
    return {origin: sequence for origin, sequence in sent.items() if not origin.startswith(CURSOR_PREFIX)}
