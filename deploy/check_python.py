"""Exits with status 1 and a one-line message if the pinned wheels do not support this Python.

`build` in deploy/system.toml runs this before pip. The script uses only syntax that old versions of Python
accept, so that they can print the message.
"""

import platform
import sys

OLDEST = (3, 11)  # required by tornado 6.6
NEWEST = (3, 14)  # last version with wheels of httptools 0.7.1 and thrift 0.25.0; machines lack a compiler


def dotted(version):
    """Formats a version: `3.11` for (3, 11)."""
    return ".".join(str(part) for part in version)


def problem(implementation, version):
    """Returns why this interpreter is unsuitable, or None if it is suitable."""
    if implementation == "CPython" and OLDEST <= tuple(version) <= NEWEST:
        return None
    wanted = "CPython " + dotted(OLDEST) + " to " + dotted(NEWEST)
    present = implementation + " " + dotted(version)
    return "larchgw needs " + wanted + ", this is " + present + ": the pinned wheels don't run on it"


if __name__ == "__main__":
    found = problem(platform.python_implementation(), sys.version_info[:2])
    sys.exit("build: " + found if found else 0)
