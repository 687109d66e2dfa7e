"""The four rules, checked from what the stand-ins themselves have written down."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from .box import Begun, Box

DRAIN_GRACE = 1.05
MAX_ATTEMPTS = 3
LATE = 0.05  # seconds that an answer may come after its client's time, for the way that it has to go


@dataclass(slots=True)
class Sent:
    """One attempt, as whoever carried it wrote it down."""

    request: str
    box: str
    at: float
    written: bool = True
    until: float = float("inf")  # when it ended or was given up
    never_ran: bool = False


@dataclass(slots=True)
class Try:
    """One request, as its client wrote it down."""

    request: str
    at_most_once: bool
    at: float
    gives_up: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # when, and "served", "refused", "failed"
    left: float = 0.0  # when its client went away by itself
    excused: bool = False  # its dispatcher was killed, or the run ended before its time


@dataclass(slots=True)
class Records:
    """What clients, carriers, boxes and discovery have seen."""

    tries: dict[str, Try] = field(default_factory=dict)
    sent: dict[str, list[Sent]] = field(default_factory=lambda: defaultdict(list))
    begun: dict[str, list[Begun]] = field(default_factory=lambda: defaultdict(list))
    drained: dict[tuple[str, str], list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by dispatcher and box: when told, and until when it held
    sent_by: list[tuple[str, str, float]] = field(default_factory=list)  # dispatcher, box, when
    # A box on a socket may read the next attempt's connection before the end of the last one's.
    slack: float = 1e-6
    boxes: list[Box] = field(default_factory=list)  # they know when they were pushed over

    def drain_told(self, dispatcher: str, box: str, at: float) -> None:
        spans = self.drained[dispatcher, box]
        if not spans or spans[-1][1] < float("inf"):
            spans.append((at, float("inf")))

    def ready_told(self, dispatcher: str, box: str, at: float) -> None:
        spans = self.drained.get((dispatcher, box))
        if spans and spans[-1][1] == float("inf"):
            spans[-1] = (spans[-1][0], at)

    def broken(self) -> list[str]:
        """Every rule that was broken, one line each; empty if all were kept."""
        return [
            *self._answers(),
            *self._attempts(),
            *self._drains(),
            *(f"{box.spec.name} was pushed over at {at:.3f}" for box in self.boxes for at in box.fell),
        ]

    def _answers(self) -> list[str]:
        lines = []
        for t in self.tries.values():
            if len(t.answers) > 1:
                lines.append(f"{t.request} had {len(t.answers)} final answers: {t.answers}")
            elif not t.answers and not t.left and not t.excused:
                lines.append(f"{t.request} had no answer")
            elif t.answers and t.answers[0][0] > t.gives_up + LATE:
                lines.append(f"{t.request} was answered {t.answers[0][0] - t.gives_up:.3f} s late")
            if t.at_most_once and t.answers and t.answers[0][1] == "refused" and self.begun.get(t.request):
                lines.append(f"{t.request} was refused and may have run")
            if t.answers and t.answers[0][1] == "served" and not self.begun.get(t.request):
                lines.append(f"{t.request} was served and no box had it")
        return lines

    def _attempts(self) -> list[str]:
        lines = []
        for request, sent in self.sent.items():
            written = [s for s in sent if s.written]
            if len(written) > MAX_ATTEMPTS:
                lines.append(f"{request} had {len(written)} attempts")
            for one, other in zip(written, written[1:], strict=False):
                if other.at < one.until - self.slack:
                    twice = min(one.until, other.until) - other.at
                    lines.append(f"{request} was out twice for {twice:.3f} s")
            t = self.tries.get(request)
            if t is not None and t.at_most_once and sum(not s.never_ran for s in written) > 1:
                lines.append(f"{request} may have run and was sent again")
        for request, begun in self.begun.items():
            t = self.tries.get(request)
            if t is not None and t.at_most_once and len(begun) > 1:
                lines.append(f"{request} must not run twice and ran {len(begun)} times")
        return lines

    def _drains(self) -> list[str]:
        lines = []
        for dispatcher, box, at in self.sent_by:
            for told, until in self.drained.get((dispatcher, box), ()):
                if told + DRAIN_GRACE < at < until:
                    lines.append(f"{dispatcher} sent to {box} {at - told:.3f} s after its drain was told")
        return lines
