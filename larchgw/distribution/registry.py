"""Versioned entries that every process holds a copy of.

Of two entries with one key the one with the higher rank wins: (major, minor), then (origin, sequence), which
decides between two processes that wrote under one number and is otherwise of no meaning. A merged entry keeps
its origin and sequence.

What a version vector promises
    `vector()[origin] == n` says: of each entry that `origin` made as its update 1..n, this registry holds
    that entry or one of the same key with a higher rank (leaving out keys outside the prefixes that it asks
    for, and keys that were forgotten). It is raised in two places only: by `put` for the registry's own
    origin, and by `advance` with the `upto` of a reply whose entries have all been merged.

Why `upto` of a cut reply claims nothing
    Entry (A, 3) may have been superseded by (B, 7). A reply that sent all of A and was cut before B would,
    had it claimed A, let its caller skip (A, 3) elsewhere without ever having held (B, 7), and if the one who
    holds (B, 7) dies, the key is lost. So a cut reply carries a cursor alone. Entries are sent in the order
    in which this registry took them; a key that changes moves to the end. A caller that comes back with the
    cursor is sent what stands behind it, and the reply that reaches the end claims the whole vector: by then
    everything this registry held was sent, skipped because the caller's vector covered it, or replaced by
    something sent later.

Entries beyond the vector
    A pushed entry (handoff) is held before the updates made ahead of it have come, so the vector does not
    cover it. It is passed on all the same, once to each caller that keeps its cursor: the cursor, not the
    vector, is what keeps a waiting caller from being sent the same entry again.

Why origins can be pruned
    Every life of a process has an origin of its own, so vectors would grow with each restart. Where this
    registry holds no entry of an origin any more, it drops the origin from its vector. Claiming less is
    always correct: the worst is that another registry, which still holds an old entry of that origin, sends
    it again, and it loses against the newer one here. The vector is thus bounded by the origins that have the
    last word on some key.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from sortedcontainers import SortedDict, SortedList

from ..rpc.generated.ttypes import Entry, PullReply
from .version_vectors import CURSOR, Vector, cursor_name, without_cursors

ENTRY_OVERHEAD_BYTES = 40  # numbers and lengths around an encoded entry's strings
AFTER_ANY_KEY = "\U0010ffff"

Watcher = Callable[[Entry], None]


def rank(entry: Entry) -> tuple[int, int, str, int]:
    """Of two entries with one key, the one with the higher rank wins."""
    return (entry.major, entry.minor, entry.origin, entry.sequence)


def size(entry: Entry) -> int:
    """About how many bytes it takes in a message."""
    return len(entry.key) + len(entry.origin) + len(entry.value) + ENTRY_OVERHEAD_BYTES


class Registry:
    """One process's copy. `origin` names this life of the process and must never have been used before."""

    def __init__(self, origin: str) -> None:
        if not origin or origin.startswith(CURSOR):
            raise ValueError(f"origin {origin!r} is empty or begins with {CURSOR!r}; use new_origin()")
        self.origin = origin
        self._sequence = 0  # of this origin's last update
        self._position = 0  # of the entry that was taken last
        self._positions: dict[str, int] = {}
        self._entries: dict[str, Entry] = {}  # in the order of their positions
        self._keys: Any = SortedList()
        self._vector: Vector = {}
        self._by_origin: dict[str, Any] = {}  # origin -> SortedDict of sequence -> key
        self._watchers: list[tuple[str, Watcher]] = []
        self._removal_watchers: list[tuple[str, Watcher]] = []
        self._news: deque[Entry] = deque()  # taken, and watchers not yet told
        self._telling = False

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def position(self) -> int:
        """Rises with each entry that is taken."""
        return self._position

    def put(self, key: str, value: bytes, major: int, minor: int = 0) -> bool:
        """Publishes a value made here; False, with nothing changed, if an entry as new or newer stands."""
        held = self._entries.get(key)
        if held is not None and (held.major, held.minor) >= (major, minor):
            return False
        self._sequence += 1
        self._vector[self.origin] = self._sequence
        self._take(Entry(key, major, minor, self.origin, self._sequence, value))
        return True

    def merge(self, entries: Sequence[Entry]) -> list[Entry]:
        """Takes entries from another process; those that were news. What they claim is told by `advance`."""
        return [entry for entry in entries if self._merge_one(entry)]

    def advance(self, upto: Mapping[str, int]) -> None:
        """Raises the vector by the `upto` of a reply, after all of the reply's entries were merged."""
        for origin, sequence in without_cursors(upto).items():
            if origin in self._by_origin and origin != self.origin:
                self._vector[origin] = max(self._vector.get(origin, 0), sequence)

    def reset_vector(self) -> None:
        """Claims nothing that others made, so that all of it is sent again."""
        self._vector = {self.origin: self._sequence} if self._sequence else {}

    def vector(self) -> Vector:
        """What this registry holds, to be sent as `have`."""
        return dict(self._vector)

    def delta(self, have: Mapping[str, int], prefixes: Sequence[str], limit_bytes: int) -> PullReply:
        """What a caller at `have` lacks of the keys with these prefixes (none: all), at most about
        `limit_bytes`.

        The reply has at least one entry if there is one to send. Its `isolated` and `control` are left empty.
        """
        mine = cursor_name(self.origin)
        cursor = have.get(mine)
        lacking = self._lacking(have, cursor)
        wanted = tuple(prefixes) or ("",)
        entries: list[Entry] = []
        room = limit_bytes
        for entry in lacking:
            if not entry.key.startswith(wanted):
                continue
            room -= size(entry)
            if room < 0 and entries:
                upto = {mine: self._positions[entries[-1].key]}
                return PullReply(entries=entries, upto=upto, more=True, isolated=False, control=[])
            entries.append(entry)
        upto = self._claims(have, whole=cursor is None)
        upto[mine] = self._position
        return PullReply(entries=entries, upto=upto, more=False, isolated=False, control=[])

    def get(self, key: str) -> Entry | None:
        """The entry that stands for the key."""
        return self._entries.get(key)

    def items(self, prefix: str = "") -> Iterator[Entry]:
        """The entries whose keys begin with the prefix, sorted by key; the registry may change meanwhile."""
        for key in list(self._keys.irange(prefix, prefix + AFTER_ANY_KEY)):
            entry = self._entries.get(key)
            if entry is not None:
                yield entry

    def not_covered_by(self, vector: Mapping[str, int], prefix: str = "") -> Iterator[Entry]:
        """The entries under the prefix that a process at this vector does not claim to hold."""
        return (entry for entry in self.items(prefix) if entry.sequence > vector.get(entry.origin, 0))

    def watch(self, prefix: str, callback: Watcher) -> None:
        """Calls back for each entry under the prefix that is news from now on, made here or merged.

        A callback may `put`; watchers are told of that after all of them were told of what came before.
        """
        self._watchers.append((prefix, callback))

    def watch_removals(self, prefix: str, callback: Watcher) -> None:
        """Calls back for each entry under the prefix that is forgotten from now on."""
        self._removal_watchers.append((prefix, callback))

    def remove_if(self, prefix: str, predicate: Callable[[Entry], bool]) -> int:
        """Forgets the entries under the prefix for which the predicate holds; how many they were.

        For tombstones that every process has had time to see. An older entry of such a key that a process cut
        off for longer than that still holds would come back.
        """
        old = [entry for entry in self.items(prefix) if predicate(entry)]
        for entry in old:
            self._drop(entry)
            self._keys.remove(entry.key)
        for entry in old:
            for watched, callback in self._removal_watchers:
                if entry.key.startswith(watched):
                    callback(entry)
        return len(old)

    def _merge_one(self, entry: Entry) -> bool:
        held = self._entries.get(entry.key)
        if held is not None and rank(held) >= rank(entry):
            return False
        self._take(entry)
        return True

    def _take(self, entry: Entry) -> None:
        held = self._entries.get(entry.key)
        if held is None:
            self._keys.add(entry.key)
        self._position += 1
        self._by_origin.setdefault(entry.origin, SortedDict())[entry.sequence] = entry.key
        if held is not None:
            self._drop(held)
        self._entries[entry.key] = entry
        self._positions[entry.key] = self._position
        self._news.append(entry)
        self._tell()

    def _tell(self) -> None:
        if self._telling:
            return
        self._telling = True
        try:
            while self._news:
                entry = self._news.popleft()
                for prefix, callback in self._watchers:
                    if entry.key.startswith(prefix):
                        callback(entry)
        finally:
            self._telling = False

    def _drop(self, entry: Entry) -> None:
        del self._entries[entry.key]
        del self._positions[entry.key]
        sequences = self._by_origin[entry.origin]
        del sequences[entry.sequence]
        if not sequences:
            del self._by_origin[entry.origin]
            if entry.origin != self.origin:
                self._vector.pop(entry.origin, None)

    def _lacking(self, have: Mapping[str, int], cursor: int | None) -> list[Entry]:
        """Entries that the vector does not cover, behind the cursor if there is one, in the order of
        positions.
        """
        if cursor is not None:
            return self._behind(cursor, have)
        found = [
            self._entries[key]
            for origin, sequences in self._by_origin.items()
            for key in sequences.values()[sequences.bisect_right(have.get(origin, 0)) :]
        ]
        return sorted(found, key=lambda entry: self._positions[entry.key])

    def _behind(self, cursor: int, have: Mapping[str, int]) -> list[Entry]:
        found: list[Entry] = []
        for key in reversed(self._entries):
            if self._positions[key] <= cursor:
                break
            entry = self._entries[key]
            if entry.sequence > have.get(entry.origin, 0):
                found.append(entry)
        found.reverse()
        return found

    def _claims(self, have: Mapping[str, int], whole: bool) -> Vector:
        """The vector, or only what of it is above `have`."""
        if whole:
            return dict(self._vector)
        return {origin: at for origin, at in self._vector.items() if at > have.get(origin, 0)}
