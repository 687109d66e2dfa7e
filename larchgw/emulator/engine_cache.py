"""The memory of a model runner: parts of prompts that it keeps, and the tokens of running requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

Prefix = tuple[str, ...]  # model, adapter, and the ids of the parts up to and with this one


@dataclass(slots=True)
class KeptPart:
    """A part that has been read. It gives way only while no running request uses it."""

    tokens: int
    users: int = 0


class EngineCache:
    """Tokens, all told: kept parts and what running requests hold for themselves (`private`)."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.private = 0
        self._parts: OrderedDict[Prefix, KeptPart] = OrderedDict()  # unused longest first
        self._kept = 0

    @property
    def used(self) -> int:
        """Tokens in memory, those that could give way included."""
        return self.private + self._kept

    def kept(self, prefixes: Sequence[Prefix]) -> int:
        """How many of these, from the first, are kept."""
        count = 0
        for prefix in prefixes:
            if prefix not in self._parts:
                break
            count += 1
        return count

    def tokens(self, prefixes: Sequence[Prefix]) -> int:
        """Tokens of these kept parts."""
        return sum(self._parts[prefix].tokens for prefix in prefixes)

    def pin(self, prefixes: Sequence[Prefix]) -> None:
        """A running request uses these kept parts."""
        for prefix in prefixes:
            self._parts[prefix].users += 1

    def unpin(self, prefixes: Sequence[Prefix]) -> None:
        """It uses them no more. The first of them are the last to give way."""
        for prefix in reversed(prefixes):
            self._parts[prefix].users -= 1
            self._parts.move_to_end(prefix)

    def keep(self, prefix: Prefix, tokens: int) -> None:
        """A running request has read this part, held privately until now; it goes on using it."""
        self.private -= tokens
        part = self._parts.get(prefix)
        if part is None:
            part = self._parts[prefix] = KeptPart(tokens)
            self._kept += tokens
        part.users += 1

    def make_room(self, tokens: int) -> bool:
        """Drops unused parts until so many tokens are free. False, and nothing is dropped, if that fails."""
        missing = self.used + tokens - self.capacity
        if missing <= 0:
            return True
        dropped = []
        for prefix, part in self._parts.items():
            if part.users:
                continue
            dropped.append(prefix)
            missing -= part.tokens
            if missing <= 0:
                break
        if missing > 0:
            return False
        for prefix in dropped:
            self._kept -= self._parts.pop(prefix).tokens
        return True
