"""Each loss and gain of contact with the majority is logged once."""

from __future__ import annotations

from collections.abc import Collection

from structlog.testing import capture_logs

from larchgw.control.contact_monitor import ContactMonitor, ContactState


class ScriptedContact:
    def __init__(self) -> None:
        self.isolated = True

    def is_isolated(self) -> bool:
        return self.isolated

    def is_majority(self, addresses: Collection[str], *, with_this_process: bool = True) -> bool:
        return False


def poll_and_capture(monitor: ContactMonitor) -> tuple[ContactState, list[str]]:
    with capture_logs() as lines:
        state = monitor.poll()
    return state, [line["event"] for line in lines]


def test_isolation_at_the_start_is_not_logged() -> None:
    assert poll_and_capture(ContactMonitor(ScriptedContact())) == (ContactState.ISOLATED, [])


def test_each_change_of_contact_is_logged_once() -> None:
    contact = ScriptedContact()
    monitor = ContactMonitor(contact)
    contact.isolated = False
    assert poll_and_capture(monitor) == (ContactState.IN_CONTACT, ["control.majority_reached"])
    assert poll_and_capture(monitor) == (ContactState.IN_CONTACT, [])
    contact.isolated = True
    assert poll_and_capture(monitor) == (ContactState.ISOLATED, ["control.majority_lost"])
    assert poll_and_capture(monitor) == (ContactState.ISOLATED, [])
