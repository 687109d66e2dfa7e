"""Stores the workers that operators have taken out of service, so that they stay out after a restart."""

from __future__ import annotations

import json
import os
from pathlib import Path

import structlog

from .scheduling.interface import WorkerId

log = structlog.get_logger()


class CordonFile:
    """A file of worker ids and the time at which each was taken out. Without a folder nothing is stored."""

    def __init__(self, folder: str | None, name: str) -> None:
        self._path = Path(folder) / f"larchgw-{name.encode().hex()}.bans" if folder else None

    def load(self) -> dict[WorkerId, float]:
        if self._path is None:
            return {}
        try:
            kept = json.loads(self._path.read_bytes())
            return {worker.encode("latin-1"): float(at) for worker, at in kept.items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, AttributeError) as error:
            log.error("bans.unreadable", error=str(error))
            return {}

    def save(self, bans: dict[WorkerId, float]) -> None:
        """Replaces the file atomically.

        Raises:
            OSError: The file cannot be written.
        """
        if self._path is None:
            return
        temporary = self._path.with_suffix(f".{os.getpid()}")
        with temporary.open("w") as file:
            json.dump({worker.decode("latin-1"): at for worker, at in bans.items()}, file)
        temporary.replace(self._path)
