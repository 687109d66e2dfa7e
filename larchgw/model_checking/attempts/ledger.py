"""What runners ran and clients were told, and the invariants that hold between them."""

from __future__ import annotations

from collections import Counter

from ...emulator.system.records import PROMISES
from ..errors import InvariantError


class Ledger:
    """The runs and final responses of one exploration run, checked at each change.

    Attributes:
        runs: How often each request began to run.
        answers: The status of each final response.
        rejections: How many requests runners have rejected.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.runs: Counter[bytes] = Counter()
        self.answers: dict[bytes, int] = {}
        self.rejections = 0
        self._idempotent: set[bytes] = set()
        self._history: dict[bytes, list[str]] = {}

    def asked(self, name: bytes, idempotent: bool) -> None:
        """Records a new request."""
        self._history[name] = []
        if idempotent:
            self._idempotent.add(name)

    def note(self, name: bytes, what: str) -> None:
        """Records what was done with a request, for the message of a violation."""
        if name in self._history:
            self._history[name].append(what)

    def ran(self, name: bytes, runner: str) -> None:
        """Records that a runner begins to run a request. Raises InvariantError."""
        if name not in self._history:
            raise InvariantError(f"UNASKED: {runner} runs {name!r}")
        self.note(name, f"{runner} runs it")
        self.runs[name] += 1
        self._check(name)

    def answered(self, name: bytes, status: int, body: bytes) -> None:
        """Records a final response and the beginning of its body. Raises InvariantError."""
        self.note(name, f"the client gets {status}")
        self.answers[name] = status
        if 200 <= status < 300 and name not in body:
            raise InvariantError(f"MIXED: {name!r} gets {body!r}")
        self._check(name)

    def _check(self, name: bytes) -> None:
        if name in self._idempotent:
            return
        if self.runs[name] > 1:
            raise InvariantError(f"TWICE: {name!r}: {'; '.join(self._history[name])}")
        if self.runs[name] and self.answers.get(name) in PROMISES:
            raise InvariantError(f"REFUSED: {name!r}: {'; '.join(self._history[name])}")
