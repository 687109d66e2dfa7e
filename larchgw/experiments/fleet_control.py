"""The real control processes of `larchgw lab fleet`, and what they use of the machine. Needs /proc."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from ..configuration.settings import TimeLimits
from ..emulator.system.network import Network
from ..emulator.system.rig import CONTROL, FIRST_CONTROL, SEEDS, Machine, Place
from ..emulator.system.site import ZONE_NAMES
from .fleet_size import BEAT_S

LIMITS = TimeLimits(fenced=True)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PLACER_LINE = "placing models from now on"
PAUSE_S = 0.1  # between two tries of the operator


@dataclass(frozen=True, slots=True)
class Usage:
    """Of one process, up to now."""

    cpu_s: float
    resident_mb: float
    peak_mb: float

    @classmethod
    def of(cls, pid: int) -> Usage:
        """Reads /proc. Raises OSError if there is no such process."""
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
        return cls(
            (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
            _megabytes(status["VmRSS"]),
            _megabytes(status["VmHWM"]),
        )


def _megabytes(kilobytes: str) -> float:
    return int(kilobytes.split()[0]) / 1000.0


class ControlProcesses:
    """Starts, measures and ends them."""

    def __init__(self, network: Network, folder: Path, number: int) -> None:
        self._client = AsyncHTTPClient(force_instance=True)
        self.machines = [
            Machine(
                Place(
                    f"control-{index + 1}",
                    CONTROL,
                    FIRST_CONTROL + index,
                    ZONE_NAMES[index % len(ZONE_NAMES)],
                ),
                network,
                folder,
            )
            for index in range(number)
        ]

    @property
    def addresses(self) -> list[str]:
        """Where runners and the operator call."""
        return [machine.control for machine in self.machines]

    async def start(self, first_boot: bool) -> None:
        """Starts all of them at once."""
        for machine in self.machines:
            settings = machine.settings(self.addresses[:SEEDS], LIMITS, first_boot)
            await machine.start(settings | {"beat_ms": round(1000.0 * BEAT_S)})

    async def kill(self) -> None:
        """Kills all of them at once; their disks stay."""
        await asyncio.gather(*(machine.kill() for machine in self.machines))

    def usage(self) -> list[Usage]:
        """Of each process."""
        return [Usage.of(machine.process.pid) for machine in self.machines if machine.process is not None]

    def placer(self) -> int:
        """The index of the process that places models; 0 before one does."""
        placing = [
            index
            for index, machine in enumerate(self.machines)
            if PLACER_LINE in machine.log.read_text(errors="replace")
        ]
        return placing[-1] if placing else 0

    async def replace(self, body: bytes, built_on: int, patience_s: float = 30.0) -> float:
        """Brings a configuration; the seconds until it was acknowledged. Raises TimeoutError."""
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < patience_s:
            address = self.addresses[number % len(self.addresses)]
            if await self._send(f"http://{address}/Config.Replace", body, built_on):
                return time.monotonic() - began
            number += 1
            await asyncio.sleep(PAUSE_S)
        raise TimeoutError(f"no configuration was taken within {patience_s:.0f} s; see the processes' logs")

    async def _send(self, url: str, body: bytes, built_on: int) -> bool:
        headers: dict[str, Any] = {"X-Built-On": str(built_on), "Content-Type": "application/json"}
        try:
            response = await self._client.fetch(
                url, method="POST", body=body, headers=headers, raise_error=False, request_timeout=5.0
            )
        except (HTTPClientError, OSError):
            return False
        return response.code == 200
