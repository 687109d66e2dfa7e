"""Storage of entries for control processes that did not accept them. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from ..rpc.generated.ttypes import Entry
from .registry import rank

MAX_PEERS = 32  # more than the peers that can still return; replaced ones never do


class HintStore:
    """Stores the newest entry of each key for each peer, and drops the oldest ones when a limit is exceeded.

    When there are too many peers, all hints of the peer that missed its first entry earliest are dropped.

    Attributes:
        dropped: Number of hints dropped because of the limits, over all peers.
    """

    def __init__(self, max_per_peer: int, max_peers: int = MAX_PEERS) -> None:
        """Keeps at most `max_per_peer` entries for each of at most `max_peers` peers."""
        if max_per_peer < 1 or max_peers < 1:
            raise ValueError(f"max_per_peer={max_per_peer}, max_peers={max_peers}: both must be at least 1")
        self._max_per_peer = max_per_peer
        self._max_peers = max_peers
        self._by_peer: dict[str, dict[str, Entry]] = {}
        self.dropped = 0

    def peers(self) -> list[str]:
        """Returns the peers for which hints are stored."""
        return list(self._by_peer)

    def add(self, peer: str, entries: Iterable[Entry]) -> None:
        """Stores entries for the peer; of two entries with the same key, only the newer one."""
        hints = self._by_peer.setdefault(peer, {})
        for entry in entries:
            held = hints.pop(entry.key, None)
            newer = held if held is not None and rank(held) > rank(entry) else entry
            hints[entry.key] = newer
        while len(hints) > self._max_per_peer:
            del hints[next(iter(hints))]
            self.dropped += 1
        if not hints:
            del self._by_peer[peer]
        while len(self._by_peer) > self._max_peers:
            self.dropped += len(self._by_peer.pop(next(iter(self._by_peer))))

    def oldest(self, peer: str, count: int) -> list[Entry]:
        """Returns the oldest hints of the peer, at most `count`."""
        hints = self._by_peer.get(peer, {})
        return [entry for entry, _ in zip(hints.values(), range(count), strict=False)]

    def remove_delivered(self, peer: str, entries: Iterable[Entry]) -> None:
        """Removes entries that the peer has received; newer entries stored meanwhile stay."""
        hints = self._by_peer.get(peer, {})
        for entry in entries:
            if hints.get(entry.key) is entry:
                del hints[entry.key]
        if not hints:
            self._by_peer.pop(peer, None)
