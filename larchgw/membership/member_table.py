"""The table of known members, with digests for comparing the tables of two processes."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import Counter
from collections.abc import Iterator
from random import Random
from zlib import crc32

from .codec import BUCKETS
from .member import Member, Role
from .messages import Cursor


def bucket_of(address: str) -> int:
    """Returns the number of the bucket that contains an address."""
    return crc32(address.encode()) % BUCKETS


def _hash_of(member: Member) -> int:
    return crc32(f"{member.address}/{member.incarnation}".encode())


class MemberTable:
    """One record per address, ordered by bucket and address.

    The digests depend on which incarnations are present, but not on whether they are suspect.

    Attributes:
        digest: Digest of the whole table.
        buckets: Digest of each bucket.
    """

    def __init__(self, random_source: Random) -> None:
        """Starts empty; `random_source` is used for samples."""
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self._random_source = random_source
        self._members: dict[str, Member] = {}
        self._order: list[tuple[int, str]] = []
        self._present: list[str] = []
        self._position: dict[str, int] = {}
        self._counts: Counter[str] = Counter()

    def get(self, address: str) -> Member | None:
        """Returns the record of the address, which may be that of an ended member."""
        return self._members.get(address)

    def put(self, member: Member) -> None:
        """Adds or replaces the record of the member's address."""
        self._withdraw(member.address)
        if member.address not in self._members:
            insort(self._order, (bucket_of(member.address), member.address))
        self._members[member.address] = member
        if member.is_present:
            self._count(member, 1)
            self._position[member.address] = len(self._present)
            self._present.append(member.address)

    def forget(self, address: str) -> None:
        """Removes the record of the address, if there is one."""
        self._withdraw(address)
        if self._members.pop(address, None) is not None:
            key = (bucket_of(address), address)
            del self._order[bisect_left(self._order, key)]

    def records(self) -> list[Member]:
        """Returns all records, including those of ended members."""
        return list(self._members.values())

    def present(self, role: Role | None = None) -> list[Member]:
        """Returns the members that are alive or suspect, optionally only those of one role."""
        members = (self._members[address] for address in self._present)
        return [member for member in members if role is None or member.role == role]

    def present_count(self) -> int:
        """Returns the number of members that are alive or suspect."""
        return len(self._present)

    def count(self, role: Role) -> int:
        """Returns the number of members of the role that are alive or suspect."""
        return self._counts[role]

    def sample(self, number: int, without: frozenset[str]) -> list[str]:
        """Returns the addresses of up to `number` distinct present members, chosen at random."""
        if number == 1:  # the most frequent case, which needs no copy of the list
            return self._sample_one(without)
        candidates = [address for address in self._present if address not in without]
        return self._random_source.sample(candidates, min(number, len(candidates)))

    def differing(self, buckets: tuple[int, ...], after: Cursor) -> Iterator[Member]:
        """Yields the members in buckets whose digests differ, in table order.

        Args:
            buckets: Bucket digests of the other table.
            after: The position after which to start.
        """
        start = bisect_right(self._order, (after.bucket, after.address))
        for bucket, address in self._order[start:]:
            if buckets[bucket] != self.buckets[bucket]:
                yield self._members[address]

    def cursor_at(self, address: str) -> Cursor:
        """Returns the position of an address in the table order."""
        return Cursor(bucket_of(address), address)

    def validate(self) -> None:
        """Checks that digests, order and counts match the records.

        Raises:
            AssertionError: If they do not; the message names the inconsistent part.
        """
        present = [member for member in self._members.values() if member.is_present]
        buckets = [0] * BUCKETS
        for member in present:
            buckets[bucket_of(member.address)] ^= _hash_of(member)
        digest = 0
        for bucket in buckets:
            digest ^= bucket
        assert self.buckets == buckets, "bucket digests differ from the records"
        assert self.digest == digest, "the table digest differs from the records"
        assert self._order == sorted((bucket_of(a), a) for a in self._members), "the table order is wrong"
        assert sorted(self._present) == sorted(m.address for m in present), "present members differ"
        assert all(self._present[position] == a for a, position in self._position.items()), "positions differ"
        assert +self._counts == Counter(m.role for m in present), "counts by role differ"

    def _sample_one(self, without: frozenset[str]) -> list[str]:
        if not self._present:
            return []
        start = self._random_source.randrange(len(self._present))
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
