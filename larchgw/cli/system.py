"""`larchgw system ...`: commands that inspect and change a running system or its data directories."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from . import system_config, system_disk, system_status
from .command import Command

Group = dict[str, Callable[..., Command]]

SYSTEM: dict[str, Any] = {
    "view": system_status.view,
    "runners": system_status.runners,
    "placement": system_status.placement,
    "config": {"read": system_config.read, "replace": system_config.replace, "change": system_config.change},
    "log": {"verify": system_disk.verify, "dump": system_disk.dump},
    "restore": system_disk.restore,
}
