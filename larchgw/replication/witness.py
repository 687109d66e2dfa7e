"""The durable state of a member's votes: the epoch it promised and the view it accepted."""

from __future__ import annotations

import json
from dataclasses import dataclass

from .ports import Cell
from .view import View


@dataclass(frozen=True, slots=True)
class WitnessState:
    """Durable. `promised_to` is the candidate whose epoch `promised` is."""

    promised: int = 0
    promised_to: str = ""
    view: View | None = None


class Witness:
    """The acceptor of views. Every change is stored before the call returns.

    An epoch is promised to one candidate, and no view below the highest promise is accepted, also after a
    restart.

    Raises OSError from the port, which leaves the state as it was.

    Source: Paxos Made Simple, section 2.2 (acceptors).
    """

    def __init__(self, cell: Cell) -> None:
        """Reads what is stored.

        Args:
            cell: Where it is stored.
        """
        self._cell = cell
        self._state = _load(cell)

    @property
    def promised(self) -> int:
        """No view below this epoch is accepted."""
        return self._state.promised

    @property
    def view(self) -> View | None:
        """The last view accepted. Whether a quorum accepted it too is not known here."""
        return self._state.view

    def reset(self, view: View | None) -> None:
        """Begins anew: with the first view, or, for a new identity, with nothing."""
        state = WitnessState() if view is None else WitnessState(view.epoch, view.primary, view)
        self._store(state)

    def promise(self, epoch: int, candidate: str) -> bool:
        """Promises `epoch` to the candidate, unless it or a higher one is promised to another."""
        state = self._state
        if (epoch, candidate) == (state.promised, state.promised_to):
            return True
        if epoch <= state.promised:
            return False
        self._store(WitnessState(epoch, candidate, state.view))
        return True

    def may_accept(self, view: View) -> bool:
        """Whether no promise rules the view out.

        Of one epoch there is only one view, whoever was promised it here: its primary has the promises of a
        quorum.
        """
        state = self._state
        if state.view is not None and state.view.epoch == view.epoch:
            return state.promised == view.epoch
        return view.epoch >= state.promised

    def accept(self, view: View) -> bool:
        """Accepts the view if it may."""
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
