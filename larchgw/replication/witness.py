"""The durable state of a member's votes: the promised epoch and the accepted view."""

from __future__ import annotations

import json
from dataclasses import dataclass

from .ports import Cell
from .view import View


@dataclass(frozen=True, slots=True)
class WitnessState:
    """The stored state. `promised_to` is the candidate to which the epoch `promised` was promised."""

    promised: int = 0
    promised_to: str = ""
    view: View | None = None


class Witness:
    """The acceptor of views. Every change is stored before the call returns.

    Each epoch is promised to one candidate only, and no view below the highest promised epoch is accepted.
    Both also hold after a restart.

    Methods raise OSError if the port does; the state is then unchanged.

    Source: Paxos Made Simple, section 2.2 (acceptors).
    """

    def __init__(self, cell: Cell) -> None:
        """Reads the stored state.

        Args:
            cell: The storage of the state.
        """
        self._cell = cell
        self._state = _load(cell)

    @property
    def promised(self) -> int:
        """The highest promised epoch; no view below it is accepted."""
        return self._state.promised

    @property
    def view(self) -> View | None:
        """The last accepted view; it is not known whether a quorum accepted it too."""
        return self._state.view

    def reset(self, view: View | None) -> None:
        """Replaces the state by the initial view, or by an empty state for a new identity."""
        state = WitnessState() if view is None else WitnessState(view.epoch, view.primary, view)
        self._store(state)

    def promise(self, epoch: int, candidate: str) -> bool:
        """Promises `epoch` to the candidate, unless it is promised to another or a higher one is promised."""
        state = self._state
        if (epoch, candidate) == (state.promised, state.promised_to):
            return True
        if epoch <= state.promised:
            return False
        self._store(WitnessState(epoch, candidate, state.view))
        return True

    def may_accept(self, view: View) -> bool:
        """Whether no promise rules the view out.

        Each epoch has at most one view, because its primary has the promises of a quorum. So the view of the
        promised epoch is accepted even if this witness promised the epoch to another candidate.
        """
        state = self._state
        if state.view is not None and state.view.epoch == view.epoch:
            return state.promised == view.epoch
        return view.epoch >= state.promised

    def accept(self, view: View) -> bool:
        """Accepts the view unless a promise rules it out; returns whether it is accepted."""
        if not self.may_accept(view):
            return False
        if self._state.view is not None and self._state.view.epoch == view.epoch:
            return True
        self._store(WitnessState(view.epoch, view.primary, view))
        return True

    def _store(self, state: WitnessState) -> None:
        view = None if state.view is None else state.view.to_json()
        value = {"promised": state.promised, "promised_to": state.promised_to, "view": view}
        self._cell.store(json.dumps(value).encode())
        self._state = state


def _load(cell: Cell) -> WitnessState:
    stored = cell.load()
    if stored is None:
        return WitnessState()
    value = json.loads(stored)
    view = None if value["view"] is None else View.from_json(value["view"])
    return WitnessState(value["promised"], value["promised_to"], view)
