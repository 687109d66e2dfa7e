"""Creates the random number generator of a process."""

from __future__ import annotations

import os
import random
import time


def new_random_source(node_name: str) -> random.Random:
    """Returns a generator whose seed is unique to this run of this process."""
    return random.Random(f"{node_name}/{os.getpid()}/{time.time_ns()}/{os.urandom(16).hex()}")
