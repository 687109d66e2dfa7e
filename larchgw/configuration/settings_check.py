"""Finds errors in settings that can be parsed; used by `larchgw settings`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields

from .errors import SettingsError
from .settings import NodeSettings

MIN_SPARE_PORTS = 3
"""One port each for RPC, membership of control processes and membership of edges."""
MAX_PORT = 65535
_REQUIRED_ADDRESSES = {"edge": ("front", "ready"), "control": ("control",)}
"""Required fields of `listen`, by role."""
_POSITIVE_TIME_LIMITS = (
    "contact_ms",
    "lease_term_ms",
    "retry_window_s",
    "ceiling_window_s",
    "grace_period_s",
)


def settings_faults(settings: NodeSettings) -> list[SettingsError]:
    """Returns all errors: addresses, ports, machine, then numbers."""
    return [
        *_address_faults(settings),
        *_port_faults(settings),
        *_machine_faults(settings),
        *_number_faults(settings),
    ]


def is_address(text: str) -> bool:
    """Whether the text has the form host:port."""
    host, _, port = text.rpartition(":")
    return host != "" and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def _address_faults(settings: NodeSettings) -> Iterator[SettingsError]:
    for service in settings.serves:
        for name in _REQUIRED_ADDRESSES.get(service, ()):
            if not getattr(settings.listen, name):
                problem = f"is missing, though it serves {service}"
                yield SettingsError(f"listen.{name}", problem, "add host:port")
    for field in fields(settings.listen):
        address = getattr(settings.listen, field.name)
        if address and not is_address(address):
            yield _address_fault(f"listen.{field.name}", address)
    if not settings.seed_list:
        yield SettingsError("seed_list", "is empty", "name the control address of at least one machine")
    for index, address in enumerate(settings.seed_list):
        if not is_address(address):
            yield _address_fault(f"seed_list[{index}]", address)


def _address_fault(field: str, address: str) -> SettingsError:
    return SettingsError(field, f"{address!r} is no address", "write it as host:port")


def _port_faults(settings: NodeSettings) -> Iterator[SettingsError]:
    first, last = settings.spare_ports
    if not 0 < first <= last <= MAX_PORT:
        yield SettingsError(
            "spare_ports",
            f"{first} to {last} is no range of ports",
            f"give two ports from 1 to {MAX_PORT}, the lower one first",
        )
    elif last - first + 1 < MIN_SPARE_PORTS:
        problem = f"{first} to {last} are too few ports"
        yield SettingsError("spare_ports", problem, f"give a range of {MIN_SPARE_PORTS} at least")


def _machine_faults(settings: NodeSettings) -> Iterator[SettingsError]:
    if settings.zones and settings.zone not in settings.zones:
        yield SettingsError("zone", f"{settings.zone!r} is not among zones", "add it there, with its region")
    if settings.counts_for_quorum and not settings.data_dir:
        problem = "is missing, though the machine counts for the quorum"
        yield SettingsError("data_dir", problem, "name a folder on its disk")


def _number_faults(settings: NodeSettings) -> Iterator[SettingsError]:
    for section in ("limits", "survive", "time_limits"):
        values = getattr(settings, section)
        for field in fields(values):
            value = getattr(values, field.name)
            if value < 0:
                yield SettingsError(f"{section}.{field.name}", f"{value:g} is negative", "give 0 or more")
            elif value == 0 and field.name in _POSITIVE_TIME_LIMITS:
                yield SettingsError(f"{section}.{field.name}", "is 0", "give a time above 0")
