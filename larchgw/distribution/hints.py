"""Entries kept for control processes that did not take them. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from ..rpc.generated.ttypes import Entry
from .registry import rank

MOST_PEERS = 32  # that hints are kept for; more than can return, since replaced ones never do


class HintStore:
    """Per peer the newest entry of each key, oldest dropped first where there are more than `most`.

    Of peers, those that first missed something longest ago are dropped first.
    """

    def __init__(self, most: int, most_peers: int = MOST_PEERS) -> None:
        if most < 1 or most_peers < 1:
            raise ValueError(f"hints for {most} entries of {most_peers} peers; keep at least 1 of each")
        self._most = most
        self._most_peers = most_peers
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
        while len(self._by_peer) > self._most_peers:
            self.dropped += len(self._by_peer.pop(next(iter(self._by_peer))))

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
