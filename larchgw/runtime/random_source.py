"""Random choices of a process."""

from __future__ import annotations

import os
import random
import time


def new_random_source(node_name: str) -> random.Random:
    """A generator that differs between processes and between the lives of one process."""
    return random.Random(f"{node_name}/{os.getpid()}/{time.time_ns()}/{os.urandom(16).hex()}")
