"""Logs when this process loses contact with the majority of the control processes, and when it gains it."""

from __future__ import annotations

from enum import Enum

import structlog

from .majority_contact import MajorityContact

log = structlog.get_logger()


class ContactState(Enum):
    """Whether a majority of the witnesses has lately been proven to be in reach."""

    ISOLATED = "isolated"
    IN_CONTACT = "in contact"


class ContactMonitor:
    """Follows `contact` by polling. A process begins isolated, which is not logged."""

    def __init__(self, contact: MajorityContact) -> None:
        """Begins at the state of a process that has proven nothing yet."""
        self._contact = contact
        self._state = ContactState.ISOLATED

    def poll(self) -> ContactState:
        """The state now; logs it if it has changed since the last call."""
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
