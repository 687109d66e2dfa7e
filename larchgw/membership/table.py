"""The members that this process knows of, with digests by which two tables are compared."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import Counter
from collections.abc import Iterator
from random import Random
from zlib import crc32

from .codec import BUCKETS, Cursor
from .member import Member, Role


def bucket_of(address: str) -> int:
    """The part of the table in which an address stands."""
    return crc32(address.encode()) % BUCKETS


def _hash_of(member: Member) -> int:
    return crc32(f"{member.address}/{member.incarnation}".encode())


class MemberTable:
    """One record for each address. Digests cover which lives are present, not whether they are suspect."""

    def __init__(self, random: Random) -> None:
        self.digest = 0  # of all buckets together
        self.buckets = [0] * BUCKETS
        self._random = random
        self._members: dict[str, Member] = {}
        self._order: list[tuple[int, str]] = []
        self._present: list[str] = []
        self._position: dict[str, int] = {}
        self._counts: Counter[str] = Counter()

    def get(self, address: str) -> Member | None:
        """What is known of the address, ended lives included."""
        return self._members.get(address)

    def put(self, member: Member) -> None:
        """Replaces what is known of its address."""
        self._withdraw(member.address)
        if member.address not in self._members:
            insort(self._order, (bucket_of(member.address), member.address))
        self._members[member.address] = member
        if member.is_present:
            self._count(member, 1)
            self._position[member.address] = len(self._present)
            self._present.append(member.address)

    def forget(self, address: str) -> None:
        """Drops the record of the address, if there is one."""
        self._withdraw(address)
        if self._members.pop(address, None) is not None:
            key = (bucket_of(address), address)
            del self._order[bisect_left(self._order, key)]

    def present(self, role: Role | None = None) -> list[Member]:
        """Alive and suspect members."""
        members = (self._members[address] for address in self._present)
        return [member for member in members if role is None or member.role == role]

    def present_count(self) -> int:
        """How many members are alive or suspect."""
        return len(self._present)

    def count(self, role: Role) -> int:
        """How many members of the role are alive or suspect."""
        return self._counts[role]

    def sample(self, number: int, without: frozenset[str]) -> list[str]:
        """Addresses of up to `number` different present members, drawn at random."""
        if number == 1:  # the frequent case, which needs no copy of the whole
            return self._sample_one(without)
        candidates = [address for address in self._present if address not in without]
        return self._random.sample(candidates, min(number, len(candidates)))

    def differing(self, buckets: tuple[int, ...], after: Cursor) -> Iterator[Member]:
        """Members in the buckets whose digests differ from `buckets`, in order, from behind the cursor."""
        start = bisect_right(self._order, (after.bucket, after.address))
        for bucket, address in self._order[start:]:
            if buckets[bucket] != self.buckets[bucket]:
                yield self._members[address]

    def cursor_at(self, address: str) -> Cursor:
        """The place of an address."""
        return Cursor(bucket_of(address), address)

    def _sample_one(self, without: frozenset[str]) -> list[str]:
        if not self._present:
            return []
        start = self._random.randrange(len(self._present))
        for offset in range(len(self._present)):
            address = self._present[(start + offset) % len(self._present)]
            if address not in without:
                return [address]
        return []

    def _withdraw(self, address: str) -> None:
        position = self._position.pop(address, None)
        if position is None:
            return
        self._count(self._members[address], -1)
        last = self._present.pop()
        if last != address:
            self._present[position] = last
            self._position[last] = position

    def _count(self, member: Member, step: int) -> None:
        self._counts[member.role] += step
        value = _hash_of(member)
        self.buckets[bucket_of(member.address)] ^= value
        self.digest ^= value
