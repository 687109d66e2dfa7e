"""A FilePort in memory that loses what a real disk may lose.

When power is lost, a file holds what its last sync covered; each write and truncation after it is there,
missing or torn, whatever became of the others. Each name made, renamed or removed since the last sync of
its folder is kept or lost by itself; a new file survives through its own sync, unless the port is `strict`
as POSIX is. A sync that fails may drop the writes that it was to cover, as Linux does: a later sync that
succeeds says nothing about them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from larchgw.storage.errors import DiskFailedError, DiskFullError

TEAR_BYTES = 16
"""Unit of a torn write: small, so that the short records of tests are torn as well."""


class PowerLossError(Exception):
    """Power was lost at this call. The port refuses all calls until `lose_power` or `kill_process`."""


@dataclass
class Write:
    """Bytes written since the last sync. `is_dropped`: a failed sync may have dropped them."""

    offset: int
    data: bytes
    is_dropped: bool = False


@dataclass
class Truncation:
    """A cut since the last sync."""

    size: int


@dataclass(eq=False)
class Inode:
    """A file: what its last sync covered, what it holds now, and the changes between."""

    synced: bytes = b""
    content: bytes = b""
    changes: list[Write | Truncation] = field(default_factory=list)


@dataclass(frozen=True)
class NameChange:
    """Made (`old` empty), removed (`new` empty) or renamed."""

    old: str
    new: str
    inode: Inode


def write_into(content: bytes, offset: int, data: bytes) -> bytes:
    content = content.ljust(offset, b"\0")
    return content[:offset] + data + content[offset + len(data) :]


class FaultyFiles:
    """Its randomness comes from one seed, so a run that fails can be repeated.

    Attributes:
        capacity: Size of the disk in bytes.
        strict: Whether a new file needs a sync of its folder to survive.
        refuses_writes: Whether writes and truncations raise DiskFullError.
        failures_left: By call, how many of the next ones raise DiskFailedError.
        call_count: How many changing calls were made.
        call_log: Each of them, as "call path".
        power_loss_at: Number of the changing call at which power is lost; 0 for never.
    """

    def __init__(self, seed: int = 0, capacity: int = 128 * 1024 * 1024, strict: bool = False) -> None:
        self.random = random.Random(seed)
        self.strict = strict
        self.capacity = capacity
        self.refuses_writes = False
        self.failures_left: dict[str, int] = {}
        self.call_count = 0
        self.power_loss_at = 0
        self.call_log: list[str] = []
        self._powered = True
        self._names: dict[str, Inode] = {}
        self._synced_names: dict[str, Inode] = {}
        self._name_changes: list[NameChange] = []

    def make_folder(self, folder: str) -> None:
        self._check_power()

    def paths(self) -> list[str]:
        return sorted(self._names)

    def list(self, folder: str) -> list[str]:
        self._check_power()
        prefix = folder + "/"
        return sorted(path.removeprefix(prefix) for path in self._names if path.startswith(prefix))

    def size(self, path: str) -> int | None:
        self._check_power()
        inode = self._names.get(path)
        return None if inode is None else len(inode.content)

    def read(self, path: str, offset: int, size: int) -> bytes:
        self._check_power()
        return self._inode(path).content[offset : offset + size]

    def write(self, path: str, offset: int, data: bytes) -> None:
        loses_power = self._begin("write", path)
        if loses_power and self.random.random() < 0.5:
            raise PowerLossError
        inode = self._names.get(path) or self._make(path)
        written = self._writable_bytes(inode, offset, data)
        if written:
            self._change(inode, Write(offset, data[:written]))
        if loses_power:
            raise PowerLossError
        if written < len(data):
            raise DiskFullError(path, "no room", "free some")

    def truncate(self, path: str, size: int) -> None:
        loses_power = self._begin("truncate", path)
        if self.refuses_writes:
            raise DiskFullError(path, "no room", "free some")
        self._change(self._inode(path), Truncation(size))
        if loses_power:
            raise PowerLossError

    def rename(self, path: str, target: str) -> None:
        loses_power = self._begin("rename", path)
        inode = self._names.pop(path)
        self._names[target] = inode
        self._name_changes.append(NameChange(path, target, inode))
        if loses_power:
            raise PowerLossError

    def remove(self, path: str) -> None:
        self._check_power()
        if path not in self._names:
            return
        loses_power = self._begin("remove", path)
        inode = self._names.pop(path)
        self._name_changes.append(NameChange(path, "", inode))
        if loses_power:
            raise PowerLossError

    def close(self, path: str) -> None:
        self._check_power()

    def sync_file(self, path: str) -> None:
        inode = self._inode(path)
        try:
            loses_power = self._begin("sync_file", path)
        except DiskFailedError:
            for change in inode.changes:
                if isinstance(change, Write):
                    change.is_dropped = True
            raise
        if loses_power:
            raise PowerLossError
        inode.synced = self._after_sync(inode)
        inode.changes = []
        if not self.strict and inode not in self._synced_names.values():
            self._synced_names[path] = inode

    def sync_folder(self, folder: str) -> None:
        if self._begin("sync_folder", folder):
            raise PowerLossError
        self._synced_names = dict(self._names)
        self._name_changes = []

    def lose_power(self) -> None:
        """Leaves what survives; the port can then be used again."""
        survival_rate = self.random.choice([0.0, 0.5, 0.9, 1.0])
        names = dict(self._synced_names)
        for change in self._name_changes:
            if self.random.random() < survival_rate:
                self._apply_name_change(names, change)
        for inode in names.values():
            inode.content = self._surviving(inode, survival_rate)
        self._restart(names)

    def kill_process(self) -> None:
        """Files stay as they are; what was not synced may still be lost later."""
        self._powered, self.power_loss_at = True, 0
        for inode in self._names.values():
            for change in inode.changes:
                if isinstance(change, Write):
                    change.is_dropped = False

    def flip_bit(self, path: str, offset: int) -> None:
        """Damages data, whether it was synced or not."""
        inode = self._inode(path)
        flipped = bytes([inode.content[offset] ^ (1 << self.random.randrange(8))])
        inode.content = write_into(inode.content, offset, flipped)
        inode.synced, inode.changes = inode.content, []

    def set_content(self, path: str, content: bytes) -> None:
        """Puts a file there, synced, whatever it was."""
        self._names[path] = Inode(content, content)
        self._synced_names[path] = self._names[path]

    def used(self) -> int:
        return sum(len(inode.content) for inode in self._names.values())

    def _begin(self, call: str, path: str) -> bool:
        """Counts a changing call; returns whether power is lost at it."""
        self._check_power()
        self.call_count += 1
        self.call_log.append(f"{call} {path}")
        if self.call_count == self.power_loss_at:
            self._powered = False
            return True
        if self.failures_left.get(call, 0) > 0:
            self.failures_left[call] -= 1
            raise DiskFailedError(path, f"{call} failed", "try again")
        return False

    def _check_power(self) -> None:
        if not self._powered:
            raise PowerLossError

    def _inode(self, path: str) -> Inode:
        self._check_power()
        inode = self._names.get(path)
        if inode is None:
            raise DiskFailedError(path, "no such file", "make it")
        return inode

    def _make(self, path: str) -> Inode:
        inode = self._names[path] = Inode()
        self._name_changes.append(NameChange("", path, inode))
        return inode

    def _writable_bytes(self, inode: Inode, offset: int, data: bytes) -> int:
        """How many bytes are written; a write without space leaves a part of it, never all of it."""
        if self.refuses_writes:
            return 0
        growth = max(0, offset + len(data) - len(inode.content))
        free = self.capacity - self.used()
        return len(data) if growth <= free else max(0, len(data) - growth + free)

    def _change(self, inode: Inode, change: Write | Truncation) -> None:
        inode.changes.append(change)
        inode.content = self._applied(inode.content, change)

    @staticmethod
    def _applied(content: bytes, change: Write | Truncation) -> bytes:
        if isinstance(change, Truncation):
            return content[: change.size]
        return write_into(content, change.offset, change.data)

    def _after_sync(self, inode: Inode) -> bytes:
        content = inode.synced
        for change in inode.changes:
            if isinstance(change, Write) and change.is_dropped and self.random.random() < 0.5:
                continue
            content = self._applied(content, change)
        return content

    def _surviving(self, inode: Inode, survival_rate: float) -> bytes:
        content = inode.synced
        for change in inode.changes:
            if self.random.random() >= survival_rate:
                continue
            if isinstance(change, Write) and self.random.random() >= survival_rate:
                content = self._torn(content, change)
            else:
                content = self._applied(content, change)
        return content

    def _torn(self, content: bytes, write: Write) -> bytes:
        for start in range(0, len(write.data), TEAR_BYTES):
            if self.random.random() < 0.5:
                content = write_into(content, write.offset + start, write.data[start : start + TEAR_BYTES])
        return content

    @staticmethod
    def _apply_name_change(names: dict[str, Inode], change: NameChange) -> None:
        if change.old and names.get(change.old) is change.inode:
            del names[change.old]
        if change.new:
            names[change.new] = change.inode

    def _restart(self, names: dict[str, Inode]) -> None:
        for inode in names.values():
            inode.synced, inode.changes = inode.content, []
        self._names, self._synced_names, self._name_changes = names, dict(names), []
        self._powered = True
        self.power_loss_at = 0
