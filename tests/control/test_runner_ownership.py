"""Responsibility for the runners of a control process that was restarted or lost."""

from __future__ import annotations

from larchgw.control.runner_ownership import is_owner_present, owner_name
from larchgw.distribution.registry import Registry
from larchgw.membership.member import Member
from larchgw.runner_directory.directory import RunnerDirectory
from larchgw.runner_directory.runner_record import RunnerRecord, Stage

OWN_ADDRESS, OTHER_ADDRESS = "10.0.0.1:7660", "10.0.0.2:7660"
BEAT_S = 1.0
EARLIER, LATER = 1_000_000, 400_000  # the clock of the later incarnation is ten minutes behind


def process(incarnation: int, address_rpc: str = OTHER_ADDRESS) -> Member:
    return Member("core-2", "10.0.0.2:7661", "control", incarnation, "a", address_rpc)


def test_runners_of_a_process_restarted_with_its_clock_set_back_are_not_marked_silent() -> None:
    now = 0.0
    present = [process(EARLIER + 1)]  # the number chosen after it learned of its earlier incarnation
    registry = Registry("here#1")
    directory = RunnerDirectory(
        registry,
        lambda: now,
        BEAT_S,
        owner_name(OWN_ADDRESS, 5),
        lambda owner: is_owner_present(owner, OWN_ADDRESS, present),
    )
    record = RunnerRecord(
        "i-1", "service", "10.1.0.1:80", "a", call_count=3, owner=owner_name(OTHER_ADDRESS, LATER)
    )
    registry.put("runner/i-1", record.encode(), 3, int(Stage.READY))
    for _ in range(40):
        now += BEAT_S / 4
        directory.tick(now)
    directory_record = directory.get("i-1")
    assert directory_record is not None
    assert directory_record.stage is Stage.READY


def test_restarted_process_is_responsible_for_runners_that_went_silent_while_it_was_down() -> None:
    assert not is_owner_present(
        owner_name(OWN_ADDRESS, EARLIER), OWN_ADDRESS, [process(EARLIER, OWN_ADDRESS)]
    )


def test_runners_of_a_lost_process_have_no_owner_present() -> None:
    others = [process(EARLIER, "10.0.0.3:7660")]
    assert not is_owner_present(owner_name(OTHER_ADDRESS, EARLIER), OWN_ADDRESS, others)
