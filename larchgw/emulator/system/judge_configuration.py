"""Rules about the operator's configurations: ROUTE, CONFIG and, for configurations, LOST."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from .breach import Breach, Case
from .records import ConfigurationCall, Try

NOT_FOUND = 404


def services_of(configuration: Mapping[str, Any], host: str, target: str) -> frozenset[str]:
    """The services that a request may go to: those of the longest prefix; none without a route."""
    path = target.partition("?")[0]
    fitting = [
        route
        for route in configuration.get("routes", ())
        if route["hostname"] == host and path.startswith(route["path_start"])
    ]
    if not fitting:
        return frozenset()
    route = max(fitting, key=lambda one: len(one["path_start"]))
    shares = route.get("shares") or [{"service": route["service"], "weight": 1}]
    return frozenset(share["service"] for share in shares if share["weight"] > 0)


class _History:
    """Which versions may decide what."""

    def __init__(self, case: Case) -> None:
        self.possible = sorted(
            (
                call
                for call in case.records.configurations
                if call.configuration is not None and not call.refused
            ),
            key=lambda call: call.version,
        )
        self._apply_s = case.limits.apply_ms / 1000.0

    def newest_due(self, at: float) -> int:
        """The version that every machine in touch must have at this time; 0 before the first."""
        return max(
            (call.version for call in self.possible if call.acknowledged_at + self._apply_s < at), default=0
        )

    def allowing(self, one: Try, service: str, until: float) -> list[int]:
        """The versions, sent by then, that let the request go to the service."""
        return [
            call.version
            for call in self.possible
            if call.sent_at <= until
            and service in services_of(call.configuration or {}, one.host, one.target)
        ]

    def without_route(self, one: Try) -> list[int]:
        """The versions in which the request has no route."""
        return [
            call.version
            for call in self.possible
            if call.sent_at <= one.ended_at
            and not services_of(call.configuration or {}, one.host, one.target)
        ]


def routes(case: Case) -> Iterator[Breach]:
    """Runs that no configuration allows (ROUTE), or only one that must be replaced by then (CONFIG)."""
    history = _History(case)
    for arrival in case.records.arrivals:
        one = case.records.tries.get(arrival.id)
        if not arrival.ran or one is None:
            continue
        versions = history.allowing(one, arrival.service, arrival.at)
        due = history.newest_due(one.sent_at)
        if not versions:
            yield Breach("ROUTE", arrival.at, f"{one.id} ran at {arrival.service}, which no version allows")
        elif versions[-1] < due and case.touch.machine(one.edge, one.sent_at):
            yield Breach(
                "CONFIG",
                arrival.at,
                f"{one.id} ran at {arrival.service} as of version {versions[-1]}, though {due} is in force",
            )


def own_refusals(case: Case) -> Iterator[Breach]:
    """404 to a request that has a route in every version that may be in force."""
    history = _History(case)
    for one in case.records.tries.values():
        if one.status != NOT_FOUND or one.seal or not case.touch.machine(one.edge, one.sent_at):
            continue
        due = history.newest_due(one.sent_at)
        if due and not any(version >= due for version in history.without_route(one)):
            yield Breach("CONFIG", one.ended_at, f"{one.id} got 404 from {one.edge}; its route is in {due}")


def downgrades(case: Case) -> Iterator[Breach]:
    """A machine that acted by a version acts, later in the same life, as only an older one allows."""
    history = _History(case)
    slack = case.limits.downgrade_ms / 1000.0
    floor: dict[tuple[str, int], tuple[int, float]] = {}
    for arrival in sorted(case.records.arrivals, key=lambda one: one.at):
        one = case.records.tries.get(arrival.id)
        versions = history.allowing(one, arrival.service, arrival.at) if one and arrival.ran else []
        if not versions or one is None:
            continue
        life = (one.edge, _life(case, one.edge, one.sent_at))
        known, since = floor.get(life, (0, 0.0))
        if versions[-1] < known and one.sent_at > since + slack:
            yield Breach("CONFIG", arrival.at, f"{one.edge} went back from version {known} to {versions[-1]}")
        if versions[0] > known:
            floor[life] = (versions[0], arrival.at)


def _life(case: Case, machine: str, at: float) -> int:
    """Counts the lives of the machine's process."""
    return sum(
        trouble.machine == machine and trouble.ends_life and trouble.at <= at
        for trouble in case.records.troubles
    )


def acknowledgements(case: Case) -> Iterator[Breach]:
    """Invalid ones taken, two taken on one version or under one number, or one refused after it was taken."""
    taken: dict[int, ConfigurationCall] = {}
    numbers: dict[int, ConfigurationCall] = {}
    for call in case.records.configurations:
        if call.refused_after_acknowledgement:
            yield Breach("CONFIG", call.acknowledged_at, f"version {call.version} was taken, then refused")
        if call.acknowledged_at == float("inf"):
            continue
        if call.configuration is None:
            yield Breach("CONFIG", call.acknowledged_at, f"version {call.version} is invalid and was taken")
        elif call.built_on in taken:
            yield Breach(
                "CONFIG",
                call.acknowledged_at,
                f"versions {taken[call.built_on].version} and "
                f"{call.version} were both taken on {call.built_on}",
            )
        elif numbers.get(call.version, call).configuration != call.configuration:
            yield Breach("CONFIG", call.acknowledged_at, f"two configurations were taken as {call.version}")
        taken.setdefault(call.built_on, call)
        numbers.setdefault(call.version, call)


def read_back(case: Case) -> Iterator[Breach]:
    """At the end the newest acknowledged version, or one that may have been taken since, must be there."""
    taken = [
        call
        for call in case.records.configurations
        if call.configuration is not None and call.acknowledged_at < float("inf")
    ]
    if not taken:
        return
    newest, found, at = max(call.version for call in taken), case.records.read_back, case.records.read_back_at
    if found is None:
        yield Breach("CONFIG", at, "the configuration could not be read back")
        return
    version = found.get("config_version", 0)
    sent = [call for call in case.records.configurations if call.version == version and not call.refused]
    if version < newest:
        yield Breach("LOST", at, f"version {newest} was acknowledged, version {version} was read back")
    elif not any(call.configuration == found for call in sent):
        yield Breach("CONFIG", at, f"what was read back is not what was sent as version {version}")
