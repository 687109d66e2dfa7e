"""One process's replica of the versioned entries: a last-writer-wins map, synchronized by deltas.

Of two entries with the same key, the one with the higher rank wins. The rank compares (major, minor), then
(origin, sequence), which only breaks ties between processes that wrote the same numbers. A merged entry keeps
its origin and sequence. Merging is idempotent, commutative and associative.

What a version vector guarantees
    `vector()[origin] == n` means: for each entry that `origin` wrote as its update 1..n, this registry holds
    that entry or one of the same key with a higher rank (except keys outside the prefixes that it pulls, and
    keys that were removed). The vector is advanced in only two places: by `put` for the registry's own
    origin, and by `advance` with the `upto` of a reply whose entries have all been merged.

Why `upto` of a truncated reply claims nothing
    Entry (A, 3) may have been superseded by (B, 7). Suppose a reply contained all entries of A, was truncated
    before B, and claimed A. Its caller would then skip (A, 3) elsewhere without ever having held (B, 7), and
    if the process that holds (B, 7) fails, the key is lost. A truncated reply therefore contains only a
    cursor. Entries are sent in the order in which this registry stored them; a key that changes moves to the
    end. A caller that returns with the cursor gets the entries stored after it. The reply that reaches the
    end claims the whole vector: by then every entry of this registry was sent, skipped because the caller's
    vector covered it, or replaced by an entry sent later.

Entries beyond the vector
    A pushed entry (hinted_handoff.py) may arrive before earlier updates of its origin, so the vector does not
    cover it. It is still forwarded, once to each caller that keeps its cursor: the cursor, not the vector,
    prevents a waiting caller from getting the same entry again.

Why origins can be pruned
    Every incarnation of a process has its own origin, so vectors would grow with each restart. When this
    registry no longer holds any entry of an origin, it drops the origin from its vector. Claiming less is
    always correct: at worst, another registry that still holds an old entry of that origin sends it again,
    and it loses against the newer one. The size of the vector is thus bounded by the number of origins that
    wrote the current entry of some key.

Source: Dynamo (SOSP 2007), sections 4.4 and 4.7; Parker and others 1983 (version vectors).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from sortedcontainers import SortedDict, SortedList

from ..identifiers import Origin
from ..rpc.generated.ttypes import Entry, PullReply
from .version_vectors import CURSOR_PREFIX, VersionVector, cursor_key, without_cursors

ENTRY_OVERHEAD_BYTES = 40  # numbers and string lengths of an encoded entry
AFTER_ANY_KEY = "\U0010ffff"

Watcher = Callable[[Entry], None]


def rank(entry: Entry) -> tuple[int, int, str, int]:
    """Returns the rank by which entries with the same key are compared; the highest wins."""
    return (entry.major, entry.minor, entry.origin, entry.sequence)


def encoded_size_bytes(entry: Entry) -> int:
    """Returns the approximate size of the entry in a message."""
    return len(entry.key) + len(entry.origin) + len(entry.value) + ENTRY_OVERHEAD_BYTES


class Registry:
    """One process's replica of the entries.

    Must be used on the event loop's thread. Callbacks of `watch` run within the call that changes the
    registry.

    Attributes:
        origin: Identifies this incarnation of the process; must never have been used before.
    """

    def __init__(self, origin: str) -> None:
        """Creates an empty registry; `origin` comes from `version_vectors.new_origin`."""
        if not origin or origin.startswith(CURSOR_PREFIX):
            raise ValueError(f"origin {origin!r} is empty or begins with {CURSOR_PREFIX!r}; use new_origin()")
        self.origin = Origin(origin)
        self._sequence = 0  # of the last update by this origin
        self._position = 0  # of the last stored entry
        self._own_superseded_at = 0  # position of the last foreign entry that replaced one of this origin
        self._positions: dict[str, int] = {}
        self._entries: dict[str, Entry] = {}  # ordered by position
        self._keys: Any = SortedList()
        self._vector: VersionVector = {}
        self._keys_by_origin: dict[str, Any] = {}  # origin -> SortedDict of sequence -> key
        self._watchers: list[tuple[str, Watcher]] = []
        self._removal_watchers: list[tuple[str, Watcher]] = []
        self._unannounced: deque[Entry] = deque()  # stored entries for which watchers were not called yet
        self._is_notifying = False

    def __len__(self) -> int:
        """Returns the number of entries, including tombstones."""
        return len(self._entries)

    def put(self, key: str, value: bytes, major: int, minor: int = 0) -> bool:
        """Publishes a value under this registry's own origin.

        Returns:
            Whether it was stored. If the registry holds an entry of the key with the same or a higher
            `(major, minor)`, nothing changes and the result is False.
        """
        held = self._entries.get(key)
        if held is not None and (held.major, held.minor) >= (major, minor):
            return False
        self._sequence += 1
        self._vector[self.origin] = self._sequence
        self._store(Entry(key, major, minor, self.origin, self._sequence, value))
        return True

    def merge(self, entries: Sequence[Entry]) -> list[Entry]:
        """Merges entries from another process, without advancing the vector (see `advance`).

        Returns:
            The entries that were stored because they are new or replace an older entry.
        """
        return [entry for entry in entries if self._merge_one(entry)]

    def advance(self, upto: Mapping[str, int]) -> None:
        """Advances the vector to the `upto` of a reply, after all entries of the reply were merged."""
        for origin, sequence in without_cursors(upto).items():
            if origin in self._keys_by_origin and origin != self.origin:
                self._vector[origin] = max(self._vector.get(origin, 0), sequence)

    def reset_vector(self) -> None:
        """Resets the vector to this registry's own updates, so that all other entries are sent again."""
        self._vector = {self.origin: self._sequence} if self._sequence else {}

    def vector(self) -> VersionVector:
        """Returns the version vector of this registry, to be sent as `have`."""
        return dict(self._vector)

    def delta(self, have: Mapping[str, int], prefixes: Sequence[str], limit_bytes: int) -> PullReply:
        """Returns the entries that a caller does not hold.

        Args:
            have: The caller's version vector, with its cursor of this registry if it has one.
            prefixes: Only keys with one of these prefixes are included; empty means all keys.
            limit_bytes: Approximate limit on the total size of the entries; at least one is sent if any is
                missing.

        Returns:
            The reply, with empty `isolated` and `control`. `more` is set if it was truncated at the limit.
        """
        own_cursor_key = cursor_key(self.origin)
        cursor = have.get(own_cursor_key)
        missing = self._missing(have, cursor)
        wanted_prefixes = tuple(prefixes) or ("",)
        entries: list[Entry] = []
        remaining_bytes = limit_bytes
        for entry in missing:
            if not entry.key.startswith(wanted_prefixes):
                continue
            remaining_bytes -= encoded_size_bytes(entry)
            if remaining_bytes < 0 and entries:
                upto = {own_cursor_key: self._positions[entries[-1].key]}
                return PullReply(entries=entries, upto=upto, more=True, isolated=False, control=[])
            entries.append(entry)
        upto = self._claimed_vector(have, is_first_pull=cursor is None)
        upto[own_cursor_key] = self._position
        return PullReply(entries=entries, upto=upto, more=False, isolated=False, control=[])

    @property
    def position(self) -> int:
        """Position of the last stored entry in the order in which entries are stored."""
        return self._position

    def own_changes(self, position: int, prefixes: Sequence[str], limit_bytes: int) -> PullReply:
        """Returns the entries that this process itself has written since `position`.

        Entries by other processes are omitted, and the cursor stays at `position`, so that the next `delta`
        includes them. An own update that one of them has superseded is not sent either; the reply then claims
        no own updates.

        Args:
            position: The caller holds every entry up to this position, or a newer one of the same key.
            prefixes: As for `delta`.
            limit_bytes: As for `delta`; `more` is set if the reply was truncated.
        """
        wanted_prefixes = tuple(prefixes) or ("",)
        upto = {cursor_key(self.origin): position}
        entries: list[Entry] = []
        remaining_bytes = limit_bytes
        for entry in self._stored_after(position):
            if entry.origin != self.origin or not entry.key.startswith(wanted_prefixes):
                continue
            remaining_bytes -= encoded_size_bytes(entry)
            if remaining_bytes < 0 and entries:
                return PullReply(entries=entries, upto=upto, more=True, isolated=False, control=[])
            entries.append(entry)
        if entries and self._own_superseded_at <= position:
            upto[self.origin] = self._sequence
        return PullReply(entries=entries, upto=upto, more=False, isolated=False, control=[])

    def get(self, key: str) -> Entry | None:
        """Returns the entry for the key, or None."""
        return self._entries.get(key)

    def items(self, prefix: str = "") -> Iterator[Entry]:
        """Yields the entries under the prefix, sorted by key; the registry may change during iteration."""
        for key in list(self._keys.irange(prefix, prefix + AFTER_ANY_KEY)):
            entry = self._entries.get(key)
            if entry is not None:
                yield entry

    def not_covered_by(self, vector: Mapping[str, int], prefix: str = "") -> Iterator[Entry]:
        """Returns the entries under the prefix that the version vector does not cover."""
        return (entry for entry in self.items(prefix) if entry.sequence > vector.get(entry.origin, 0))

    def watch(self, prefix: str, callback: Watcher) -> None:
        """Registers a callback for each entry under the prefix that is stored, whether put or merged.

        A callback may call `put`; watchers are notified of that entry after they were all notified of the
        earlier ones.
        """
        self._watchers.append((prefix, callback))

    def watch_removals(self, prefix: str, callback: Watcher) -> None:
        """Registers a callback for each entry under the prefix that is removed."""
        self._removal_watchers.append((prefix, callback))

    def remove_if(self, prefix: str, predicate: Callable[[Entry], bool]) -> int:
        """Removes the entries under the prefix for which the predicate is true.

        Meant for tombstones that every process has had time to receive. If a process was disconnected for
        longer than that and still holds an older entry of such a key, the older entry would come back.

        Returns:
            The number of removed entries.
        """
        removed = [entry for entry in self.items(prefix) if predicate(entry)]
        for entry in removed:
            self._discard(entry)
            self._keys.remove(entry.key)
        for entry in removed:
            for watched_prefix, callback in self._removal_watchers:
                if entry.key.startswith(watched_prefix):
                    callback(entry)
        return len(removed)

    def validate_state(self) -> None:
        """Raises AssertionError if the indexes disagree with the entries; for tests."""
        assert list(self._keys) == sorted(self._entries)
        assert self._positions.keys() == self._entries.keys()
        positions = [self._positions[key] for key in self._entries]
        assert positions == sorted(positions)
        assert all(position <= self._position for position in positions)
        indexed = {
            (origin, sequence, key)
            for origin, keys_by_sequence in self._keys_by_origin.items()
            for sequence, key in keys_by_sequence.items()
        }
        assert indexed == {(entry.origin, entry.sequence, key) for key, entry in self._entries.items()}
        assert all(self._keys_by_origin.values())
        assert self._vector.keys() <= self._keys_by_origin.keys() | {self.origin}
        assert self._vector.get(self.origin, 0) == self._sequence

    def _merge_one(self, entry: Entry) -> bool:
        held = self._entries.get(entry.key)
        if held is not None and rank(held) >= rank(entry):
            return False
        self._store(entry)
        return True

    def _store(self, entry: Entry) -> None:
        held = self._entries.get(entry.key)
        if held is None:
            self._keys.add(entry.key)
        self._position += 1
        self._keys_by_origin.setdefault(entry.origin, SortedDict())[entry.sequence] = entry.key
        if held is not None:
            self._discard(held)
            if held.origin == self.origin != entry.origin:
                self._own_superseded_at = self._position
        self._entries[entry.key] = entry
        self._positions[entry.key] = self._position
        self._unannounced.append(entry)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        if self._is_notifying:
            return
        self._is_notifying = True
        try:
            while self._unannounced:
                entry = self._unannounced.popleft()
                for prefix, callback in self._watchers:
                    if entry.key.startswith(prefix):
                        callback(entry)
        finally:
            self._is_notifying = False

    def _discard(self, entry: Entry) -> None:
        del self._entries[entry.key]
        del self._positions[entry.key]
        keys_by_sequence = self._keys_by_origin[entry.origin]
        del keys_by_sequence[entry.sequence]
        if not keys_by_sequence:
            del self._keys_by_origin[entry.origin]
            if entry.origin != self.origin:
                self._vector.pop(entry.origin, None)

    def _missing(self, have: Mapping[str, int], cursor: int | None) -> list[Entry]:
        """Returns the entries that the vector does not cover, after the cursor if given, by position."""
        if cursor is not None:
            return self._missing_after(cursor, have)
        missing = [
            self._entries[key]
            for origin, keys_by_sequence in self._keys_by_origin.items()
            for key in keys_by_sequence.values()[keys_by_sequence.bisect_right(have.get(origin, 0)) :]
        ]
        return sorted(missing, key=lambda entry: self._positions[entry.key])

    def _missing_after(self, cursor: int, have: Mapping[str, int]) -> list[Entry]:
        return [entry for entry in self._stored_after(cursor) if entry.sequence > have.get(entry.origin, 0)]

    def _stored_after(self, position: int) -> list[Entry]:
        """Returns the entries stored after a position, in the order of their positions."""
        stored: list[Entry] = []
        for key in reversed(self._entries):
            if self._positions[key] <= position:
                break
            stored.append(self._entries[key])
        stored.reverse()
        return stored

    def _claimed_vector(self, have: Mapping[str, int], is_first_pull: bool) -> VersionVector:
        """Returns the whole vector for a first pull, and only its items that exceed `have` for later ones."""
        if is_first_pull:
            return dict(self._vector)
        return {
            origin: sequence for origin, sequence in self._vector.items() if sequence > have.get(origin, 0)
        }
