"""The registry: replicas converge for any order of messages, and no vector claims an entry never held."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest
import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from larchgw.distribution.registry import Registry, rank
from larchgw.distribution.version_vectors import cursor_key, cursors, without_cursors
from larchgw.rpc.generated.ttypes import Entry, PullReply

KEYS = ["runner/a", "runner/b", "expected/a", "configuration"]
PREFIXES: list[tuple[str, ...]] = [(), ("runner/",), ("configuration", "expected/")]
SMALL = 90  # bytes: about one entry per reply
LIMITS = [SMALL, 2 * SMALL + 50, 10**6]


def ranks_by_key(registry: Registry) -> dict[str, tuple[int, int, str, int]]:
    return {entry.key: rank(entry) for entry in registry.items()}


class Caller:
    """Pulls into a registry like the puller: it keeps the cursor of one source until the source changes."""

    def __init__(self, registry: Registry, prefixes: tuple[str, ...] = ()) -> None:
        self.registry = registry
        self.prefixes = prefixes
        self.source = ""
        self.cursors: dict[str, int] = {}

    def pull(self, source: Registry, limit: int, lost: bool = False) -> bool:
        """Pulls once; returns whether there is more to pull."""
        if self.source != source.origin:
            self.source, self.cursors = source.origin, {}
        reply: PullReply = source.delta(self.registry.vector() | self.cursors, self.prefixes, limit)
        if lost:
            return True
        self.registry.merge(reply.entries)
        if not reply.more:
            self.registry.advance(reply.upto)
        self.cursors = cursors(reply.upto)
        return bool(reply.more)


class Cluster:
    """Registries that put, pull, push and restart, with a record of all entries for checking the vectors."""

    def __init__(self, size: int) -> None:
        self.all_entries: list[Entry] = []
        self.incarnations = 0
        self.processes: list[Registry] = []
        self.callers: dict[tuple[int, int], Caller] = {}
        self.dispatchers: list[Caller] = []
        for _ in range(size):
            self.processes.append(self._new())
        for prefixes in PREFIXES:
            self.dispatchers.append(Caller(self._new(), prefixes))

    def _new(self) -> Registry:
        self.incarnations += 1
        registry = Registry(f"life{self.incarnations % 7}.{self.incarnations}")
        registry.watch("", self._record)
        return registry

    def _record(self, entry: Entry) -> None:
        self.all_entries.append(entry)

    def caller(self, index: int, source: int) -> Caller:
        key = (index, source)
        if key not in self.callers:
            self.callers[key] = Caller(self.processes[index])
        return self.callers[key]

    def restart(self, index: int) -> None:
        self.processes[index] = self._new()
        self.callers = {key: caller for key, caller in self.callers.items() if key[0] != index}

    def exchange_all(self) -> None:
        """Every process pulls from every other three times, since an entry may need two intermediate hops."""
        for _ in range(3):
            for index, source in itertools.permutations(range(len(self.processes)), 2):
                pull_all(self.caller(index, source), self.processes[source])
        for caller in self.dispatchers:
            pull_all(caller, self.processes[0])

    def check_claims(self) -> None:
        holders = [(registry, ()) for registry in self.processes]
        holders += [(caller.registry, caller.prefixes) for caller in self.dispatchers]
        for registry, prefixes in holders:
            registry.validate_state()
            vector, ranks = registry.vector(), ranks_by_key(registry)
            for entry in self.all_entries:
                if prefixes and not entry.key.startswith(prefixes):
                    continue
                if entry.sequence <= vector.get(entry.origin, 0):
                    assert ranks.get(entry.key, (-1, 0, "", 0)) >= rank(entry), (registry.origin, entry)


ACTIONS = st.one_of(
    st.tuples(st.just("put"), st.integers(0, 2), st.sampled_from(KEYS), st.integers(0, 5), st.integers(0, 2)),
    st.tuples(st.just("pull"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(LIMITS), st.booleans()),
    st.tuples(
        st.just("dispatch"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(LIMITS), st.booleans()
    ),
    st.tuples(st.just("push"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(KEYS)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
)


def apply_steps(cluster: Cluster, steps: list[tuple]) -> Iterator[None]:  # type: ignore[type-arg]
    for step in steps:
        kind, index, *rest = step
        registry = cluster.processes[index]
        if kind == "put":
            key, major, minor = rest
            registry.put(key, f"{major}.{minor} by {registry.origin}".encode(), major, minor)
        elif kind == "pull" and index != rest[0]:
            cluster.caller(index, rest[0]).pull(cluster.processes[rest[0]], rest[1], lost=rest[2])
        elif kind == "dispatch":
            cluster.dispatchers[index].pull(cluster.processes[rest[0]], rest[1], lost=rest[2])
        elif kind == "push":
            entry = registry.get(rest[1])
            cluster.processes[rest[0]].merge([entry] if entry is not None else [])
        elif kind == "restart":
            cluster.restart(index)
        yield


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(ACTIONS, max_size=60))
def test_no_vector_claims_an_entry_that_its_registry_never_held(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    cluster = Cluster(3)
    for _ in apply_steps(cluster, steps):
        cluster.check_claims()


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(ACTIONS, max_size=60))
def test_replicas_converge_to_the_highest_rank_once_messages_arrive(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    cluster = Cluster(3)
    for _ in apply_steps(cluster, steps):
        pass
    reachable = highest_ranks(cluster.processes)
    cluster.exchange_all()
    for registry in cluster.processes:
        assert ranks_by_key(registry) == reachable
    for caller in cluster.dispatchers:
        wanted_prefixes = caller.prefixes or ("",)
        for key, value in reachable.items():
            if key.startswith(wanted_prefixes):
                assert ranks_by_key(caller.registry)[key] >= value


def highest_ranks(registries: list[Registry]) -> dict[str, tuple[int, int, str, int]]:
    """Returns the highest rank by key over all registries."""
    highest: dict[str, tuple[int, int, str, int]] = {}
    for registry in registries:
        for key, value in ranks_by_key(registry).items():
            highest[key] = max(highest.get(key, value), value)
    return highest


def pull_all(caller: Caller, source: Registry, limit: int = SMALL) -> None:
    for _ in range(100):
        if not caller.pull(source, limit):
            return
    raise AssertionError("a truncated pull did not finish within 100 replies")


class RegistryTest(testtools.TestCase):
    def test_an_older_or_equal_value_is_not_stored(self) -> None:
        registry = Registry("a.1")
        assert registry.put("view", b"1", 5)
        assert not registry.put("view", b"2", 5)
        assert not registry.put("view", b"2", 4, 9)
        assert registry.put("view", b"3", 5, 1)
        assert registry.get("view").value == b"3"

    def test_two_writers_of_the_same_version_converge_to_the_same_value(self) -> None:
        first, second = Registry("a.1"), Registry("b.1")
        first.put("fleet", b"one", 3)
        second.put("fleet", b"two", 3)
        first.merge(list(second.items()))
        second.merge([Entry("fleet", 3, 0, "a.1", 1, b"one")])
        assert first.get("fleet").value == b"two"
        assert second.get("fleet").value == b"two"

    def test_truncated_reply_claims_nothing(self) -> None:
        registry = Registry("a.1")
        for number in range(5):
            registry.put(f"runner/{number}", b"x" * 50, 1)
        reply = registry.delta({}, (), SMALL)
        assert reply.more
        assert len(reply.entries) == 1
        assert without_cursors(reply.upto) == {}

    def test_a_reply_has_an_entry_even_if_it_is_over_the_limit(self) -> None:
        registry = Registry("a.1")
        registry.put("configuration", b"x" * 10_000, 1)
        reply = registry.delta({}, (), 100)
        assert len(reply.entries) == 1
        assert not reply.more

    def test_truncated_pull_continues_correctly_after_a_sent_key_has_changed(self) -> None:
        source, caller = Registry("a.1"), Caller(Registry("edge.1"))
        for number in range(4):
            source.put(f"runner/{number}", b"old" * 20, 1)
        assert caller.pull(source, SMALL)
        source.put("runner/0", b"new", 2)
        pull_all(caller, source)
        assert ranks_by_key(source) == ranks_by_key(caller.registry)

    def test_truncated_pull_continues_correctly_with_interleaved_origins(self) -> None:
        source, caller = Registry("m.1"), Caller(Registry("edge.1"))
        for number in range(4):
            for origin in ("z.1", "a.1"):
                source.merge([Entry(f"runner/{origin}{number}", 1, 0, origin, number + 1, b"x" * 40)])
        pull_all(caller, source, limit=3 * SMALL)
        assert ranks_by_key(source) == ranks_by_key(caller.registry)

    def test_pushed_entry_is_forwarded_although_earlier_updates_are_missing(self) -> None:
        writer, other, caller = Registry("a.1"), Registry("b.1"), Caller(Registry("edge.1"))
        pull_all(caller, other)
        writer.put("runner/0", b"first", 1)
        writer.put("runner/1", b"urgent", 1)
        other.merge([writer.get("runner/1")])
        assert "a.1" not in other.vector()
        reply = other.delta(caller.registry.vector() | caller.cursors, (), 10**6)
        assert [entry.key for entry in reply.entries] == ["runner/1"]

    def test_pushed_entry_is_not_sent_repeatedly_to_a_waiting_caller(self) -> None:
        writer, other, caller = Registry("a.1"), Registry("b.1"), Caller(Registry("edge.1"))
        writer.put("runner/0", b"first", 1)
        writer.put("runner/1", b"urgent", 1)
        other.merge([writer.get("runner/1")])
        pull_all(caller, other)
        reply = other.delta(caller.registry.vector() | caller.cursors, (), 10**6)
        assert reply.entries == []

    def test_cursor_of_another_registry_is_ignored(self) -> None:
        source = Registry("a.1")
        source.put("runner/0", b"x", 1)
        reply = source.delta({cursor_key("a.0"): 1000}, (), 10**6)
        assert len(reply.entries) == 1

    def test_vectors_stay_bounded_over_many_incarnations(self) -> None:
        observer = Registry("k.1")
        for incarnation in range(200):
            process = Registry(f"p.{incarnation}")
            process.put("placer", b"x", incarnation + 1)
            observer.merge(list(process.items()))
            observer.advance(process.vector())
        assert observer.vector() == {"p.199": 1}

    def test_old_entry_of_a_pruned_origin_does_not_replace_a_newer_one(self) -> None:
        old, new, observer = Registry("p.1"), Registry("p.2"), Caller(Registry("k.1"))
        old.put("placer", b"old", 1)
        new.put("placer", b"new", 2)
        pull_all(observer, old)
        pull_all(observer, new)
        pull_all(observer, old)
        assert observer.registry.get("placer").value == b"new"
        assert "p.1" not in observer.registry.vector()

    def test_watchers_see_a_put_from_a_callback_after_the_entry_that_caused_it(self) -> None:
        registry = Registry("a.1")
        seen: list[int] = []
        registry.watch("view", lambda entry: registry.put("view", b"mine", 10) and None)
        registry.watch("view", lambda entry: seen.append(entry.major))
        registry.put("view", b"theirs", 1)
        assert seen == [1, 10]

    def test_removed_entries_are_not_sent(self) -> None:
        registry = Registry("a.1")
        registry.put("runner/0", b"x", 1)
        registry.put("runner/1", b"x", 2)
        assert registry.remove_if("runner/", lambda entry: entry.major == 1) == 1
        assert [entry.key for entry in registry.delta({}, (), 10**6).entries] == ["runner/1"]

    def test_an_origin_that_looks_like_a_cursor_is_rejected(self) -> None:
        with pytest.raises(ValueError, match="begins with '@'"):
            Registry("@a")

    def test_small_delta_reads_only_few_entries(self) -> None:
        registry = Registry("a.1")
        for number in range(3000):
            registry.put(f"runner/{number:05}", b"x", 1)
        have = registry.vector()
        registry.put("runner/00007", b"y", 2)
        counting_entries = CountingDict(registry._entries)
        registry._entries = counting_entries
        reply = registry.delta(have, (), 10**6)
        assert len(reply.entries) == 1
        assert counting_entries.reads < 5


class CountingDict(dict):  # type: ignore[type-arg]
    """Counts reads of entries."""

    reads = 0

    def __getitem__(self, key: str) -> Entry:
        self.reads += 1
        return super().__getitem__(key)
