"""Entries kept for control processes that did not accept them. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ..rpc.generated.ttypes import Entry
from .registry import rank

MAX_PEERS = 32  # more than can return, since replaced ones never do


class HintStore:
    """Per peer the newest entry of each key; the oldest are dropped first where there are too many.

    Of peers, those that first missed something longest ago are dropped first.

    Attributes:
        dropped: How many hints were lost to the bounds, over all peers.
    """

    def __init__(self, max_per_peer: int, max_peers: int = MAX_PEERS) -> None:
        """Keeps at most `max_per_peer` entries for each of at most `max_peers` peers."""
        if max_per_peer < 1 or max_peers < 1:
            raise ValueError(
                f"hints for {max_per_peer} entries of {max_peers} peers; keep at least 1 of each"
            )
        self._max_per_peer = max_per_peer
        self._max_peers = max_peers
        self._by_peer: dict[str, dict[str, Entry]] = {}
        self.dropped = 0

    def peers(self) -> list[str]:
        """Returns those for whom something is kept."""
        return list(self._by_peer)

    def add(self, peer: str, entries: Iterable[Entry]) -> None:
        """Keeps entries for the peer; of two with one key the newer."""
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
        """Returns the oldest of the peer's hints, `count` at most."""
        hints = self._by_peer.get(peer, {})
        return [entry for entry, _ in zip(hints.values(), range(count), strict=False)]

    def remove_delivered(self, peer: str, entries: Iterable[Entry]) -> None:
        """Removes what the peer has; what was kept in place of these since stays."""
        hints = self._by_peer.get(peer, {})
        for entry in entries:
            if hints.get(entry.key) is entry:
                del hints[entry.key]
        if not hints:
            self._by_peer.pop(peer, None)
