"""A model of a runner's engine in virtual time: batches, prefill in chunks, kept parts, slots, preemption.

In each step every running request that has read its prompt makes one token, and up to `chunk` tokens of the
prompts of others are read. The more run, and the more is read, the longer the step takes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .engine_cache import EngineCache, Prefix
from .timeline import Timeline


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """The figures of one engine. Times are milliseconds, sizes tokens."""

    slots: int = 64
    queue: int = 192
    cache_tokens: int = 250_000
    step_ms: float = 5.0
    step_ms_per_slot: float = 0.018
    context_ms_per_k: float = 0.008
    prefill_tokens_per_ms: float = 40.0
    chunk: int = 2048
    stride: int = 5  # tokens in one event of a stream
    speed: float = 1.0  # of this runner; 2.0 is twice as slow


@dataclass(slots=True)
class Generation:
    """One request at the engine. `parts` are (id, tokens) in the prompt's order."""

    model: str
    adapter: str
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    priority: int
    on_event: Callable[[Generation], None]  # an event of the stream is made; `made` says how far it is
    on_done: Callable[[Generation], None]
    made: int = 0
    unread: int = 0  # tokens of the prompt that are to be read yet
    private: int = 0
    order: int = 0
    used: list[Prefix] = field(default_factory=list)

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def prefixes(self) -> list[Prefix]:
        """What the parts are kept under."""
        key: Prefix = (self.model, self.adapter)
        result = []
        for id, _ in self.parts:
            key = (*key, id)
            result.append(key)
        return result


class Engine:
    """One runner. It takes as many as it has slots and queue for."""

    def __init__(self, settings: EngineSettings, timeline: Timeline) -> None:
        self.settings = settings
        self.cache = EngineCache(settings.cache_tokens)
        self.read_tokens = 0
        self.kept_tokens = 0
        self.preempted = 0
        self._timeline = timeline
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._stepping = False
        self._orders = 0

    def submit(self, generation: Generation) -> bool:
        """Takes it, or says at once that it is full, or that the request is larger than its memory."""
        too_large = generation.prompt_tokens + generation.output_tokens > self.settings.cache_tokens
        room = self.settings.slots + self.settings.queue - len(self._running) - len(self._waiting)
        if too_large or room <= 0:
            return False
        self._orders += 1
        generation.order = self._orders
        self._waiting.append(generation)
        self._step()
        return True

    def cancel(self, generation: Generation) -> None:
        """Its client has gone; nothing happens if it is over."""
        if generation in self._waiting:
            self._waiting.remove(generation)
        elif generation in self._running:
            self._release(generation)

    def load(self) -> tuple[int, int, int]:
        """Requests running, requests waiting, and slots, as answers tell them."""
        return len(self._running), len(self._waiting), self.settings.slots

    def _step(self) -> None:
        """Begins a step, unless one is under way or nothing is to be done."""
        if self._stepping:
            return
        self._admit()
        if not self._running:
            return
        reading = self._chunks()
        decoding = [generation for generation in self._running if not generation.unread]
        self._stepping = True
        self._timeline.at(
            self._timeline.now() + self._step_s(reading, decoding), lambda: self._finish(reading, decoding)
        )

    def _admit(self) -> None:
        """Lets in the most urgent, then the oldest, as far as slots and memory go."""
        self._waiting.sort(key=lambda generation: (generation.priority, generation.order))
        while self._waiting and len(self._running) < self.settings.slots:
            generation = self._waiting[0]
            prefixes = generation.prefixes
            used = prefixes[: self.cache.kept(prefixes)]
            self.cache.pin(used)
            kept = self.cache.tokens(used)
            needed = generation.prompt_tokens + generation.made - kept
            if not self.cache.make_room(needed):
                self.cache.unpin(used)
                return
            del self._waiting[0]
            generation.used = used
            generation.private = needed
            generation.unread = max(1, needed)  # a prompt kept whole still makes its last token anew
            self.cache.private += needed
            self.kept_tokens += kept
            self._running.append(generation)

    def _chunks(self) -> list[tuple[Generation, int]]:
        """Whose prompts are read in the next step, and how much of each."""
        left = self.settings.chunk
        reading = []
        for generation in sorted(self._running, key=lambda one: (one.priority, one.order)):
            if generation.unread and left:
                tokens = min(left, generation.unread)
                left -= tokens
                reading.append((generation, tokens))
        return reading

    def _step_s(self, reading: list[tuple[Generation, int]], decoding: list[Generation]) -> float:
        settings = self.settings
        read = sum(tokens for _, tokens in reading)
        context = sum(generation.prompt_tokens + generation.made for generation in decoding)
        spent_ms = (
            settings.step_ms
            + settings.step_ms_per_slot * len(self._running)
            + settings.context_ms_per_k * context / 1000.0
            + read / settings.prefill_tokens_per_ms
        )
        return spent_ms * settings.speed / 1000.0

    def _finish(self, reading: list[tuple[Generation, int]], decoding: list[Generation]) -> None:
        """The step is over: what was read is read, and each that decoded has one token more."""
        self._stepping = False
        for generation, tokens in reading:
            if generation not in self._running:
                continue
            generation.unread -= tokens
            self.read_tokens += tokens
            if not generation.unread:
                self._keep(generation)
                self._token(generation)
        for generation in decoding:
            if generation in self._running:
                self._token(generation)
        self._step()

    def _keep(self, generation: Generation) -> None:
        """The whole prompt is read: its parts are kept for others."""
        for prefix, (_, tokens) in list(zip(generation.prefixes, generation.parts, strict=True))[
            len(generation.used) :
        ]:
            self.cache.keep(prefix, tokens)
            generation.private -= tokens
            generation.used.append(prefix)

    def _token(self, generation: Generation) -> None:
        """One token more; if there is no memory for it, the newest of the least urgent gives way."""
        while not self.cache.make_room(1):
            victim = max(self._running, key=lambda one: (one.priority, one.order))
            self._preempt(victim)
            if victim is generation:
                return
        generation.made += 1
        generation.private += 1
        self.cache.private += 1
        over = generation.made >= generation.output_tokens
        if over:
            self._release(generation)
        if over or generation.made % self.settings.stride == 1:
            generation.on_event(generation)
        if over:
            generation.on_done(generation)

    def _preempt(self, generation: Generation) -> None:
        """It loses its memory and waits to be read anew."""
        self._release(generation)
        self.preempted += 1
        self._waiting.append(generation)

    def _release(self, generation: Generation) -> None:
        """It runs no more; the parts that it used stay while there is room."""
        self._running.remove(generation)
        self.cache.unpin(generation.used)
        self.cache.private -= generation.private
        generation.used = []
        generation.private = 0
        generation.unread = 0
