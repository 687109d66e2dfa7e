"""Ends with status 1 and one plain line where the pinned wheels don't run on this Python.

`build` of deploy/system.toml runs this before pip. It keeps to what an old Python reads, too, so that the
error can be printed there.
"""

import platform
import sys

OLDEST = (3, 11)  # tornado 6.6 asks for it
NEWEST = (3, 14)  # the last with wheels of httptools 0.7.1 and thrift 0.25.0; the machines have no compiler


def dotted(version):
    """`3.11` for (3, 11)."""
    return ".".join(str(part) for part in version)


def problem(implementation, version):
    """What is wrong with this interpreter, or None."""
    if implementation == "CPython" and OLDEST <= tuple(version) <= NEWEST:
        return None
    wanted = "CPython " + dotted(OLDEST) + " to " + dotted(NEWEST)
    present = implementation + " " + dotted(version)
    return "larchgw needs " + wanted + ", this is " + present + ": the pinned wheels don't run on it"


if __name__ == "__main__":
    found = problem(platform.python_implementation(), sys.version_info[:2])
    sys.exit("build: " + found if found else 0)
