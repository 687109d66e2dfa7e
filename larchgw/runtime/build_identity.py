"""Identifies the program that a process runs, so that its log tells which of several versions wrote it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from pathlib import Path

from .. import __version__

PACKAGE = Path(__file__).parent.parent
DIGEST_DIGITS = 12  # hexadecimal digits shown; enough to tell the commits of one repository apart


@dataclass(frozen=True, slots=True)
class BuildIdentity:
    """What a process runs.

    Attributes:
        version: The release.
        source: Digest of the package's Python files; equal for equal sources, wherever they are installed.
    """

    version: str
    source: str


def build_identity(package: Path = PACKAGE) -> BuildIdentity:
    """Reads the package's Python files and returns their identity. Raises OSError."""
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(package).as_posix()}\0{len(data)}\0".encode())
        digest.update(data)
    return BuildIdentity(__version__, digest.hexdigest()[:DIGEST_DIGITS])
