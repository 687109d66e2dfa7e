"""Addresses for a trial's machines: a part of 127.0.0.0/8 of its own, and ports alike on all machines.

Needs a system on which all of 127.0.0.0/8 is loopback, as Linux has it.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass

PORTS = 32  # a machine's, from the first on
FIRST_PORTS = range(20_000, 32_000, PORTS)  # below those that systems give to outgoing connections
GUARD_HOST = 1  # its sockets keep other trials out of the same addresses
GUARD_OFFSET = PORTS - 1
CONTROL_OFFSET, FRONT_OFFSET, READY_OFFSET, RUNNER_OFFSET = 0, 1, 2, 3
SPARE_OFFSETS = (8, 23)  # for what the processes say to each other
ATTEMPTS = 200


class NoFreeNetwork(Exception):
    """No free part of the loopback network was found."""


@dataclass(slots=True)
class Network:
    """One trial's addresses. Close it when the trial is over."""

    prefix: str  # "127.a.b"
    first_port: int
    guard: socket.socket

    @classmethod
    def claim(cls, rng: random.Random) -> Network:
        """Takes addresses that nobody uses. Raises NoFreeNetwork."""
        for _ in range(ATTEMPTS):
            prefix = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
            first = rng.choice(FIRST_PORTS)
            guard = _take(f"{prefix}.{GUARD_HOST}", first + GUARD_OFFSET)
            if guard is None:
                continue
            if all(_is_free(f"{prefix}.{GUARD_HOST}", first + offset) for offset in range(GUARD_OFFSET)):
                return cls(prefix, first, guard)
            guard.close()
        raise NoFreeNetwork(f"no {PORTS} ports are free together on the loopback addresses; end other trials")

    def host(self, number: int) -> str:
        """The address of a machine, by its number from 2 to 254."""
        return f"{self.prefix}.{number}"

    def port(self, offset: int) -> int:
        """A port, the same on all machines."""
        return self.first_port + offset

    def address(self, number: int, offset: int) -> str:
        """Host and port."""
        return f"{self.host(number)}:{self.port(offset)}"

    def spare_ports(self) -> list[int]:
        """The first and last port that the processes may use among themselves."""
        return [self.port(offset) for offset in SPARE_OFFSETS]

    def close(self) -> None:
        """Gives the addresses back."""
        self.guard.close()


def _take(host: str, port: int) -> socket.socket | None:
    taken = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        taken.bind((host, port))
        taken.listen(1)
    except OSError:
        taken.close()
        return None
    return taken


def _is_free(host: str, port: int) -> bool:
    """Whether it is free for TCP and UDP; a listener on all addresses shows here too."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
