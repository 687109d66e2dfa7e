"""The model of a runner's engine: what it must do for an experiment on it to say anything."""

from __future__ import annotations

from random import Random

from larchgw.emulator.engine import Engine, EngineSettings, Generation
from larchgw.emulator.timeline import START, Virtual

PROMPT = (("system", 2000), ("subject", 4000), ("own", 500))


class Bench:
    """An engine, its time, and when each generation's events came."""

    def __init__(self, **settings: float) -> None:
        self.time = Virtual()
        self.engine = Engine(EngineSettings(**settings), self.time)  # type: ignore[arg-type]
        self.all: list[Generation] = []  # kept, so that no id() is given twice
        self.events: dict[int, list[float]] = {}
        self.done: dict[int, float] = {}

    def submit(
        self,
        parts: tuple[tuple[str, int], ...] = PROMPT,
        output: int = 10,
        priority: int = 5,
        model: str = "m",
    ) -> Generation:
        """Gives it to the engine now."""
        generation = Generation(model, "", parts, output, priority, self._event, self._done)
        self.all.append(generation)
        self.events[id(generation)] = []
        self.taken = self.engine.submit(generation)
        return generation

    def _event(self, generation: Generation) -> None:
        self.events[id(generation)].append(self.time.now() - START)

    def _done(self, generation: Generation) -> None:
        self.done[id(generation)] = self.time.now() - START

    def run(self, seconds: float = 60.0) -> None:
        """Lets it run."""
        self.time.run(self.time.now() + seconds)

    def first(self, generation: Generation) -> float:
        """When its first event came."""
        return self.events[id(generation)][0]


def test_a_prompt_is_read_at_the_engines_rate() -> None:
    bench = Bench(prefill_tokens_per_ms=40.0, step_ms=5.0)
    one = bench.submit()
    bench.run()
    assert 6500 / 40.0 <= 1000 * bench.first(one) <= 6500 / 40.0 + 4 * 6.0


def test_a_kept_beginning_is_not_read_again_and_only_for_its_model() -> None:
    bench = Bench()
    bench.submit()
    bench.run()
    bench.submit((*PROMPT[:2], ("other", 300)))
    bench.run()
    assert bench.engine.read_tokens == 6500 + 300
    bench.submit(model="n")
    bench.run()
    assert bench.engine.read_tokens == 6500 + 300 + 6500


def test_a_part_behind_another_beginning_is_read() -> None:
    bench = Bench()
    bench.submit()
    bench.run()
    bench.submit((("else", 10), *PROMPT[1:]))
    bench.run()
    assert bench.engine.read_tokens == 6500 + 4510


def test_parts_unused_longest_give_way() -> None:
    bench = Bench(cache_tokens=10_000)
    bench.submit((("a", 4000),))
    bench.run()
    bench.submit((("b", 4000),))
    bench.run()
    bench.submit((("c", 4000),))
    bench.run()
    before = bench.engine.read_tokens
    bench.submit((("b", 4000),))
    bench.run()
    assert bench.engine.read_tokens <= before + 1
    bench.submit((("a", 4000),))
    bench.run()
    assert bench.engine.read_tokens >= before + 4000


def test_the_more_urgent_are_let_in_first() -> None:
    bench = Bench(slots=1)
    bench.submit()
    late = bench.submit(priority=5)
    urgent = bench.submit(priority=0)
    bench.run()
    assert bench.first(urgent) < bench.first(late)


def test_memory_that_runs_out_preempts_the_newest_of_the_least_urgent_and_all_finish() -> None:
    bench = Bench(cache_tokens=1400, slots=4)
    urgent = bench.submit((("a", 300),), 300, 0)
    old = bench.submit((("b", 300),), 300, 5)
    new = bench.submit((("c", 300),), 300, 5)
    bench.run()
    assert bench.engine.preempted >= 1
    assert bench.done[id(urgent)] < bench.done[id(old)] < bench.done[id(new)]
    assert bench.engine.cache.private == 0


def test_a_full_engine_and_a_request_beyond_its_memory_are_refused() -> None:
    bench = Bench(slots=1, queue=1, cache_tokens=10_000)
    bench.submit()
    bench.submit()
    bench.submit()
    assert not bench.taken
    bench.run()
    bench.submit((("huge", 20_000),))
    assert not bench.taken


def test_a_cancelled_generation_frees_its_slot_and_memory() -> None:
    bench = Bench(slots=1)
    one = bench.submit(output=1000)
    bench.run(0.3)
    two = bench.submit()
    bench.engine.cancel(one)
    bench.run()
    assert id(one) not in bench.done
    assert id(two) in bench.done
    assert bench.engine.cache.private == 0


def test_more_running_makes_each_token_slower() -> None:
    def last(count: int) -> float:
        bench = Bench(step_ms_per_slot=0.5)
        for number in range(count):
            bench.submit(((f"{number}", 10),), 100)
        bench.run()
        return max(bench.done.values())

    assert last(1) < last(32)


def test_memory_adds_up_under_any_load() -> None:
    random, bench = Random(3), Bench(cache_tokens=5000, slots=8)
    for number in range(200):
        parts = ((f"s{random.randrange(3)}", 400), (f"o{number}", random.randrange(1, 900)))
        bench.submit(parts, random.randrange(1, 200), random.randrange(10))
        bench.run(random.random() * 0.2)
        assert bench.engine.cache.used <= 5000
    bench.run(600.0)
    assert len(bench.done) == 200
    assert bench.engine.cache.private == 0
