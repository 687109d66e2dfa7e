"""Log lines of the system's processes: one a line on standard error, with the process's name."""

from __future__ import annotations

import logging
import os
import sys

FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
VARIABLE = "LARCHGW_LOG"  # a level's name; WARNING and above without it would hide a start and its settings


def configure(node_name: str) -> None:
    """Sends logs of INFO and above to standard error; LARCHGW_LOG names another level."""
    level = os.environ.get(VARIABLE, "INFO").upper()
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"{node_name} {FORMAT}"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level if level in logging.getLevelNamesMapping() else "INFO")
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
