"""Logs when this process loses or gains contact with a majority of the witnesses."""

from __future__ import annotations

from enum import Enum

import structlog

from .majority_contact import MajorityContact

log = structlog.get_logger()


class ContactState(Enum):
    """Whether recent pulls have proven that a majority of the witnesses is reachable."""

    ISOLATED = "isolated"
    IN_CONTACT = "in contact"


class ContactMonitor:
    """Polls `contact` for changes. A process starts isolated, which is not logged."""

    def __init__(self, contact: MajorityContact) -> None:
        """Starts in the isolated state, since nothing has been proven yet."""
        self._contact = contact
        self._state = ContactState.ISOLATED

    def poll(self) -> ContactState:
        """Returns the current state; logs it if it has changed since the last call."""
        state = ContactState.ISOLATED if self._contact.is_isolated() else ContactState.IN_CONTACT
        if state is not self._state:
            self._state = state
            self._log_change()
        return state

    def _log_change(self) -> None:
        if self._state is ContactState.ISOLATED:
            log.warning("control.majority_lost")
        else:
            log.info("control.majority_reached")
