"""Identifies the program that a process runs, so that its log tells which of several versions wrote it."""

from __future__ import annotations

import asyncio
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


async def read_build_identity(package: Path = PACKAGE) -> BuildIdentity:
    """Reads the package's Python files and returns their identity; other tasks run between the files.

    Raises:
        OSError: A file cannot be read.
    """
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(package).as_posix()}\0{len(data)}\0".encode())
        digest.update(data)
        await asyncio.sleep(0)
    return BuildIdentity(__version__, digest.hexdigest()[:DIGEST_DIGITS])


def build_identity(package: Path = PACKAGE) -> BuildIdentity:
    """Does the same where no event loop runs. Raises OSError."""
    return asyncio.run(read_build_identity(package))
