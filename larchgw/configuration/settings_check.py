"""What is wrong with the settings of a process although they can be read; for `larchgw settings`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from .errors import SettingsError
from .settings import NodeSettings

PORTS_NEEDED = 3  # rpc, membership of control processes, membership of edges
_LARGEST_PORT = 65535
_NEEDED_ADDRESSES = {"edge": ("front", "ready"), "control": ("control",)}  # by what the role serves
_POSITIVE = ("contact_ms", "lease_term_ms", "retry_window_s", "ceiling_window_s", "grace_period_s")


def settings_faults(settings: NodeSettings) -> list[SettingsError]:
    """Every fault, in the order of the fields."""
    return [*_addresses(settings), *_ports(settings), *_places(settings), *_figures(settings)]


def is_address(text: str) -> bool:
    """Whether it reads as host:port."""
    host, _, port = text.rpartition(":")
    return host != "" and port.isascii() and port.isdigit() and 0 < int(port) <= _LARGEST_PORT


def _addresses(settings: NodeSettings) -> Iterator[SettingsError]:
    for what in settings.serves:
        for name in _NEEDED_ADDRESSES.get(what, ()):
            if not getattr(settings.listen, name):
                yield SettingsError(f"listen.{name}", f"is missing, though it serves {what}", "add host:port")
    for field in fields(settings.listen):
        address = getattr(settings.listen, field.name)
        if address and not is_address(address):
            yield SettingsError(f"listen.{field.name}", f"{address!r} is no address", "write it as host:port")
    if not settings.seed_list:
        yield SettingsError("seed_list", "is empty", "name the control address of at least one machine")
    for index, address in enumerate(settings.seed_list):
        if not is_address(address):
            yield SettingsError(f"seed_list[{index}]", f"{address!r} is no address", "write it as host:port")


def _ports(settings: NodeSettings) -> Iterator[SettingsError]:
    first, last = settings.spare_ports
    if not 0 < first <= last <= _LARGEST_PORT:
        yield SettingsError(
            "spare_ports",
            f"{first} to {last} is no range of ports",
            f"give two ports from 1 to {_LARGEST_PORT}, the lower one first",
        )
    elif last - first + 1 < PORTS_NEEDED:
        yield SettingsError(
            "spare_ports", f"{first} to {last} are too few ports", f"give a range of {PORTS_NEEDED} at least"
        )


def _places(settings: NodeSettings) -> Iterator[SettingsError]:
    if settings.zones and settings.zone not in settings.zones:
        yield SettingsError("zone", f"{settings.zone!r} is not among zones", "add it there, with its region")
    if settings.counts_for_quorum and not settings.data_dir:
        yield SettingsError(
            "data_dir", "is missing, though the machine counts for the quorum", "name a folder on its disk"
        )


def _figures(settings: NodeSettings) -> Iterator[SettingsError]:
    for part in ("limits", "survive", "time_limits"):
        values = getattr(settings, part)
        for field in fields(values):
            value = getattr(values, field.name)
            if value < 0:
                yield SettingsError(f"{part}.{field.name}", f"{value:g} is negative", "give 0 or more")
            elif value == 0 and field.name in _POSITIVE:
                yield SettingsError(f"{part}.{field.name}", "is 0", "give a time above 0")
