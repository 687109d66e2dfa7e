"""Identifies the program that a process runs, so that its log tells which of several versions wrote it."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Generator
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


def read_files(package: Path = PACKAGE) -> Generator[None, None, BuildIdentity]:
    """Reads the package's Python files, one at each step, and returns their identity. Raises OSError."""
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(package).as_posix()}\0{len(data)}\0".encode())
        digest.update(data)
        yield
    return BuildIdentity(__version__, digest.hexdigest()[:DIGEST_DIGITS])


def build_identity(package: Path = PACKAGE) -> BuildIdentity:
    """Returns the identity of the package's Python files. Raises OSError."""
    steps = read_files(package)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            identity: BuildIdentity = end.value
            return identity


async def build_identity_in_steps() -> BuildIdentity:
    """Returns the identity of this program; other tasks run between the files. Raises OSError."""
    steps = read_files()
    while True:
        try:
            next(steps)
        except StopIteration as end:
            identity: BuildIdentity = end.value
            return identity
        await asyncio.sleep(0)
