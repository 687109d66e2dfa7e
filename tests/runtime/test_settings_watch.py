"""Reloading settings that change while a role runs."""

from __future__ import annotations

from dataclasses import replace

from larchgw.configuration.errors import SettingsError
from larchgw.configuration.settings import NodeSettings
from larchgw.runtime.settings_watch import SettingsWatch

OLD = NodeSettings("core-1", "127.0.0.1", "a", spare_ports=[7660, 7675], seed_list=["10.0.0.1:80"])
NEW = replace(OLD, seed_list=["10.0.0.9:80"])


class RoleStub:
    """Records the settings passed to `reload`."""

    def __init__(self) -> None:
        self.reloaded: list[NodeSettings] = []

    def reload(self, settings: NodeSettings) -> None:
        self.reloaded.append(settings)


class SettingsFile:
    """A settings file that can be changed, or made unreadable with None."""

    def __init__(self, settings: NodeSettings | None) -> None:
        self.settings = settings

    def read(self) -> NodeSettings:
        if self.settings is None:
            raise SettingsError("file", "is truncated", "write the complete file")
        return self.settings


def test_changed_seeds_reach_the_role_once_without_a_signal() -> None:
    role, file = RoleStub(), SettingsFile(OLD)
    watch = SettingsWatch(role, OLD, file.read)
    watch.check()
    assert role.reloaded == []
    file.settings = NEW
    watch.check()
    watch.check()
    assert role.reloaded == [NEW]


def test_incomplete_file_changes_nothing() -> None:
    role, file = RoleStub(), SettingsFile(None)
    watch = SettingsWatch(role, OLD, file.read)
    watch.check()
    assert role.reloaded == []
    file.settings = NEW
    watch.check()
    assert role.reloaded == [NEW]
