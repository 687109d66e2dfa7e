"""`larchgw version`: tells which program this is, as processes log it when they start."""

from __future__ import annotations

from ..runtime.build_identity import build_identity
from .command import Command, string_arguments


@string_arguments
def version() -> Command:
    """Prints the release and the digest of the sources, which `process.build` in the logs names, too."""
    return Command(_print_build)


def _print_build() -> int:
    build = build_identity()
    print(f"larchgw {build.version} source={build.source}")
    return 0
