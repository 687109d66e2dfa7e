"""Version vectors as sent in messages, and the read cursors sent along with them.

A version vector maps an origin (one incarnation of a process) to a sequence number. It means that for each
update by this origin up to that number, the sender holds the entry or a newer one of the same key. A cursor
tells how far a caller has read one registry, in the order in which that registry stored its entries. It is
sent in the same map, under the key CURSOR_PREFIX + origin of the registry, and is meaningful only to that
registry.

Source: Parker and others, "Detection of Mutual Inconsistency in Distributed Systems", IEEE TSE 1983;
DeCandia and others, "Dynamo", SOSP 2007, section 4.4.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from ..identifiers import Origin

CURSOR_PREFIX = "@"  # prefix of a cursor's key; no origin starts with it
INCARNATION_BITS = 32  # random part of an origin, which must differ between incarnations of a process

VersionVector = dict[str, int]


def new_origin(node_name: str, random_source: random.Random) -> Origin:
    """Returns a unique origin for the registry of this incarnation of the process."""
    return Origin(f"{node_name}.{random_source.getrandbits(INCARNATION_BITS):08x}")


def cursor_key(origin: str) -> str:
    """Returns the key under which the cursor of that origin's registry is sent."""
    return CURSOR_PREFIX + origin


def cursors(sent: Mapping[str, int]) -> VersionVector:
    """Returns the cursors contained in the map of a pull message."""
    return {name: position for name, position in sent.items() if name.startswith(CURSOR_PREFIX)}


def without_cursors(sent: Mapping[str, int]) -> VersionVector:
    """Returns the version vector contained in the map of a pull message."""
    return {origin: sequence for origin, sequence in sent.items() if not origin.startswith(CURSOR_PREFIX)}
