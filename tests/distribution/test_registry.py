"""The registry: whatever the order of messages, copies agree, and no vector claims what its holder never
had.
"""

from __future__ import annotations

from collections.abc import Iterator

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from larchgw.distribution.registry import Registry, rank
from larchgw.distribution.version_vectors import cursor_key, cursors, without_cursors
from larchgw.rpc.generated.ttypes import Entry, PullReply

KEYS = ["runner/a", "runner/b", "expected/a", "configuration"]
PREFIXES: list[tuple[str, ...]] = [(), ("runner/",), ("configuration", "expected/")]
SMALL = 90  # bytes: about one entry a reply
LIMITS = [SMALL, 2 * SMALL + 50, 10**6]


def held(registry: Registry) -> dict[str, tuple[int, int, str, int]]:
    return {entry.key: rank(entry) for entry in registry.items()}


class Caller:
    """Pulls into a registry from others, as the puller does: the cursor of one source is kept, and lost at a
    change.
    """

    def __init__(self, registry: Registry, prefixes: tuple[str, ...] = ()) -> None:
        self.registry = registry
        self.prefixes = prefixes
        self.source = ""
        self.cursors: dict[str, int] = {}

    def pull(self, source: Registry, limit: int, lost: bool = False) -> bool:
        """One exchange; whether there is more to pull."""
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


class World:
    """Registries that put, pull, push, restart; and every entry ever made, to check the vectors against."""

    def __init__(self, size: int) -> None:
        self.made: list[Entry] = []
        self.lives = 0
        self.processes: list[Registry] = []
        self.callers: dict[tuple[int, int], Caller] = {}
        self.dispatchers: list[Caller] = []
        for _ in range(size):
            self.processes.append(self._new())
        for prefixes in PREFIXES:
            self.dispatchers.append(Caller(self._new(), prefixes))

    def _new(self) -> Registry:
        self.lives += 1
        registry = Registry(f"life{self.lives % 7}.{self.lives}")
        registry.watch("", self._note)
        return registry

    def _note(self, entry: Entry) -> None:
        self.made.append(entry)

    def caller(self, index: int, source: int) -> Caller:
        key = (index, source)
        if key not in self.callers:
            self.callers[key] = Caller(self.processes[index])
        return self.callers[key]

    def restart(self, index: int) -> None:
        self.processes[index] = self._new()
        self.callers = {key: caller for key, caller in self.callers.items() if key[0] != index}

    def check_claims(self) -> None:
        everyone = [(registry, ()) for registry in self.processes]
        everyone += [(caller.registry, caller.prefixes) for caller in self.dispatchers]
        for registry, prefixes in everyone:
            vector, standing = registry.vector(), held(registry)
            for entry in self.made:
                if prefixes and not entry.key.startswith(prefixes):
                    continue
                if entry.sequence <= vector.get(entry.origin, 0):
                    assert standing.get(entry.key, (-1, 0, "", 0)) >= rank(entry), (registry.origin, entry)


actions = st.one_of(
    st.tuples(st.just("put"), st.integers(0, 2), st.sampled_from(KEYS), st.integers(0, 5), st.integers(0, 2)),
    st.tuples(st.just("pull"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(LIMITS), st.booleans()),
    st.tuples(
        st.just("dispatch"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(LIMITS), st.booleans()
    ),
    st.tuples(st.just("push"), st.integers(0, 2), st.integers(0, 2), st.sampled_from(KEYS)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
)


def play(world: World, steps: list[tuple]) -> Iterator[None]:  # type: ignore[type-arg]
    for step in steps:
        kind, index, *rest = step
        registry = world.processes[index]
        if kind == "put":
            key, major, minor = rest
            registry.put(key, f"{major}.{minor} by {registry.origin}".encode(), major, minor)
        elif kind == "pull" and index != rest[0]:
            world.caller(index, rest[0]).pull(world.processes[rest[0]], rest[1], lost=rest[2])
        elif kind == "dispatch":
            world.dispatchers[index].pull(world.processes[rest[0]], rest[1], lost=rest[2])
        elif kind == "push":
            entry = registry.get(rest[1])
            world.processes[rest[0]].merge([entry] if entry is not None else [])
        elif kind == "restart":
            world.restart(index)
        yield


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(actions, max_size=60))
def test_no_vector_claims_an_entry_that_its_holder_never_had(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    world = World(3)
    for _ in play(world, steps):
        world.check_claims()


@settings(max_examples=200, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(actions, max_size=60))
def test_copies_agree_on_the_maximum_once_messages_get_through(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    world = World(3)
    for _ in play(world, steps):
        pass
    reachable: dict[str, tuple[int, int, str, int]] = {}
    for registry in world.processes:
        for key, value in held(registry).items():
            reachable[key] = max(reachable.get(key, value), value)
    for _ in range(3):  # news may take a way over two others
        for index in range(3):
            for source in range(3):
                if index != source:
                    pulls(world.caller(index, source), world.processes[source])
    for caller in world.dispatchers:
        pulls(caller, world.processes[0])
    for registry in world.processes:
        assert held(registry) == reachable
    for caller in world.dispatchers:
        wanted = caller.prefixes or ("",)
        for key, value in reachable.items():
            if key.startswith(wanted):
                assert held(caller.registry)[key] >= value


def pulls(caller: Caller, source: Registry, limit: int = SMALL) -> None:
    for _ in range(100):
        if not caller.pull(source, limit):
            return
    raise AssertionError("a cut pull never came to its end")


class RegistryTest(testtools.TestCase):
    def test_an_older_or_equal_value_is_refused(self) -> None:
        registry = Registry("a.1")
        self.assertTrue(registry.put("view", b"1", 5))
        self.assertFalse(registry.put("view", b"2", 5))
        self.assertFalse(registry.put("view", b"2", 4, 9))
        self.assertTrue(registry.put("view", b"3", 5, 1))
        self.assertEqual(b"3", registry.get("view").value)

    def test_two_writers_under_one_number_end_with_the_same_value_everywhere(self) -> None:
        one, two = Registry("a.1"), Registry("b.1")
        one.put("fleet", b"one", 3)
        two.put("fleet", b"two", 3)
        one.merge(list(two.items()))
        two.merge([Entry("fleet", 3, 0, "a.1", 1, b"one")])
        self.assertEqual(b"two", one.get("fleet").value)
        self.assertEqual(b"two", two.get("fleet").value)

    def test_a_cut_reply_claims_nothing(self) -> None:
        registry = Registry("a.1")
        for number in range(5):
            registry.put(f"runner/{number}", b"x" * 50, 1)
        reply = registry.delta({}, (), SMALL)
        self.assertTrue(reply.more)
        self.assertEqual(1, len(reply.entries))
        self.assertEqual({}, without_cursors(reply.upto))

    def test_a_reply_has_an_entry_even_if_it_is_over_the_limit(self) -> None:
        registry = Registry("a.1")
        registry.put("configuration", b"x" * 10_000, 1)
        reply = registry.delta({}, (), 100)
        self.assertEqual(1, len(reply.entries))
        self.assertFalse(reply.more)

    def test_a_cut_reply_goes_on_behind_a_key_that_changed_meanwhile(self) -> None:
        source, caller = Registry("a.1"), Caller(Registry("edge.1"))
        for number in range(4):
            source.put(f"runner/{number}", b"old" * 20, 1)
        self.assertTrue(caller.pull(source, SMALL))
        source.put("runner/0", b"new", 2)
        pulls(caller, source)
        self.assertEqual(held(source), held(caller.registry))

    def test_a_cut_reply_goes_on_where_entries_of_several_origins_came_in_turns(self) -> None:
        source, caller = Registry("m.1"), Caller(Registry("edge.1"))
        for number in range(4):
            for origin in ("z.1", "a.1"):
                source.merge([Entry(f"runner/{origin}{number}", 1, 0, origin, number + 1, b"x" * 40)])
        pulls(caller, source, limit=3 * SMALL)
        self.assertEqual(held(source), held(caller.registry))

    def test_a_pushed_entry_is_passed_on_though_updates_before_it_are_missing(self) -> None:
        writer, other, caller = Registry("a.1"), Registry("b.1"), Caller(Registry("edge.1"))
        pulls(caller, other)
        writer.put("runner/0", b"first", 1)
        writer.put("runner/1", b"urgent", 1)
        other.merge([writer.get("runner/1")])
        self.assertNotIn("a.1", other.vector())
        reply = other.delta(caller.registry.vector() | caller.cursors, (), 10**6)
        self.assertEqual(["runner/1"], [entry.key for entry in reply.entries])

    def test_a_pushed_entry_is_not_sent_again_and_again_to_a_waiting_caller(self) -> None:
        writer, other, caller = Registry("a.1"), Registry("b.1"), Caller(Registry("edge.1"))
        writer.put("runner/0", b"first", 1)
        writer.put("runner/1", b"urgent", 1)
        other.merge([writer.get("runner/1")])
        pulls(caller, other)
        reply = other.delta(caller.registry.vector() | caller.cursors, (), 10**6)
        self.assertEqual([], reply.entries)

    def test_a_cursor_of_another_registry_means_nothing(self) -> None:
        source = Registry("a.1")
        source.put("runner/0", b"x", 1)
        reply = source.delta({cursor_key("a.0"): 1000}, (), 10**6)
        self.assertEqual(1, len(reply.entries))

    def test_vectors_stay_bounded_over_many_lives(self) -> None:
        keeper = Registry("k.1")
        for life in range(200):
            process = Registry(f"p.{life}")
            process.put("placer", b"x", life + 1)
            keeper.merge(list(process.items()))
            keeper.advance(process.vector())
        self.assertEqual({"p.199": 1}, keeper.vector())

    def test_a_pruned_origin_that_comes_back_takes_nothing_back(self) -> None:
        old, new, keeper = Registry("p.1"), Registry("p.2"), Caller(Registry("k.1"))
        old.put("placer", b"old", 1)
        new.put("placer", b"new", 2)
        pulls(keeper, old)
        pulls(keeper, new)
        pulls(keeper, old)
        self.assertEqual(b"new", keeper.registry.get("placer").value)
        self.assertNotIn("p.1", keeper.registry.vector())

    def test_watchers_see_an_answering_put_after_what_it_answers(self) -> None:
        registry = Registry("a.1")
        seen: list[int] = []
        registry.watch("view", lambda entry: registry.put("view", b"mine", 10) and None)
        registry.watch("view", lambda entry: seen.append(entry.major))
        registry.put("view", b"theirs", 1)
        self.assertEqual([1, 10], seen)

    def test_removed_entries_are_not_sent(self) -> None:
        registry = Registry("a.1")
        registry.put("runner/0", b"x", 1)
        registry.put("runner/1", b"x", 2)
        self.assertEqual(1, registry.remove_if("runner/", lambda entry: entry.major == 1))
        self.assertEqual(["runner/1"], [entry.key for entry in registry.delta({}, (), 10**6).entries])

    def test_an_origin_that_looks_like_a_cursor_is_refused(self) -> None:
        self.assertRaises(ValueError, Registry, "@a")

    def test_little_news_does_not_cost_a_look_at_all_entries(self) -> None:
        registry = Registry("a.1")
        for number in range(3000):
            registry.put(f"runner/{number:05}", b"x", 1)
        have = registry.vector()
        registry.put("runner/00007", b"y", 2)
        looked = Counted(registry._entries)
        registry._entries = looked
        reply = registry.delta(have, (), 10**6)
        self.assertEqual(1, len(reply.entries))
        self.assertLess(looked.reads, 5)


class Counted(dict):  # type: ignore[type-arg]
    """Counts the entries that are looked at."""

    reads = 0

    def __getitem__(self, key: str) -> Entry:
        self.reads += 1
        return super().__getitem__(key)
