"""Entries kept for control processes that did not take them. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ..rpc.generated.ttypes import Entry
from .registry import rank


class Hints:
    """Per peer the newest entry of each key, oldest dropped first where there are more than `most`."""

    def __init__(self, most: int) -> None:
        if most < 1:
            raise ValueError(f"hints for {most} entries a peer; keep at least 1")
        self._most = most
        self._by_peer: dict[str, dict[str, Entry]] = {}
        self.dropped = 0  # hints lost to the bound, over all peers

    def peers(self) -> list[str]:
        """Those for whom something is kept."""
        return list(self._by_peer)

    def keep(self, peer: str, entries: Iterable[Entry]) -> None:
        """Keeps entries for the peer; of two with one key the newer."""
        kept = self._by_peer.setdefault(peer, {})
        for entry in entries:
            held = kept.pop(entry.key, None)
            newer = held if held is not None and rank(held) > rank(entry) else entry
            kept[entry.key] = newer
        while len(kept) > self._most:
            del kept[next(iter(kept))]
            self.dropped += 1
        if not kept:
            del self._by_peer[peer]

    def first(self, peer: str, count: int) -> list[Entry]:
        """The oldest of the peer's hints."""
        kept = self._by_peer.get(peer, {})
        return [entry for entry, _ in zip(kept.values(), range(count), strict=False)]

    def delivered(self, peer: str, entries: Iterable[Entry]) -> None:
        """The peer has these; what was kept in their place since stays."""
        kept = self._by_peer.get(peer, {})
        for entry in entries:
            if kept.get(entry.key) is entry:
                del kept[entry.key]
        if not kept:
            self._by_peer.pop(peer, None)

    def forget(self, peer: str) -> None:
        """The peer will not come back."""
        self._by_peer.pop(peer, None)
