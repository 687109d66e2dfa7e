"""Settings that change while a role runs."""

from __future__ import annotations

from dataclasses import replace

from larchgw.configuration.errors import SettingsError
from larchgw.configuration.settings import NodeSettings
from larchgw.runtime.process import SettingsWatch

OLD = NodeSettings("core-1", "127.0.0.1", "a", spare_ports=[7660, 7675], seed_list=["10.0.0.1:80"])
NEW = replace(OLD, seed_list=["10.0.0.9:80"])


class Role:
    """Notes what it is told."""

    def __init__(self) -> None:
        self.told: list[NodeSettings] = []

    async def start(self) -> None:
        """Nothing to begin."""

    def reload(self, settings: NodeSettings) -> None:
        self.told.append(settings)

    async def stop(self) -> None:
        """Nothing to end."""


class File:
    """A settings file that can be written and spoilt."""

    def __init__(self, settings: NodeSettings | None) -> None:
        self.settings = settings

    def read(self) -> NodeSettings:
        if self.settings is None:
            raise SettingsError("file", "is cut short", "write it whole")
        return self.settings


def test_seeds_that_change_without_a_signal_reach_the_role() -> None:
    role, file = Role(), File(OLD)
    watch = SettingsWatch(role, OLD, file.read)
    watch.check()
    assert role.told == []
    file.settings = NEW
    watch.check()
    watch.check()
    assert role.told == [NEW]


def test_a_file_that_is_being_written_changes_nothing() -> None:
    role, file = Role(), File(None)
    watch = SettingsWatch(role, OLD, file.read)
    watch.check()
    assert role.told == []
    file.settings = NEW
    watch.check()
    assert role.told == [NEW]
