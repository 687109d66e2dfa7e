"""The named faults of `try --system --fault NAME`: each brings one of the worst days about."""

from __future__ import annotations

import asyncio
import copy
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from .clients import Clients
from .operator import Configuration, Operator
from .records import Records
from .rig import Machine, Rig
from .runner import Runner
from .runners import Runners
from .site import CLASSES, HOST, LOOKUP
from .watch import Watch

WHOLE_S = 60.0  # in which a busy machine's control processes must all be in one view again
LOOK_S = 0.1
PAUSE_S = 0.2  # between two changes, where they do not follow each other at once
DOWN_S = 1.0  # that a process is away
AT_ONCE = 8  # changes that are under way together
LOST_SHARE, COPIES = 0.4, 2  # of a race: answers that get lost, and how often each call is sent at once
FIRST_LOSS, LOSS_EVERY = 2, 6  # rounds of a race in which the primary is killed
DELAY_MS, LOSS = 40.0, 0.2  # of a bad link
PROBED = next(one for one in CLASSES if one.service == LOOKUP and one.idempotent)
HELD_ROUTES = 20  # of those that plays add; older ones are removed


class PlayError(Exception):
    """The system did not come to rest after a fault; the message says what is missing."""


@dataclass(frozen=True, slots=True)
class Lengths:
    """How long the plays last."""

    hold_s: float = 20.0  # that a process is cut off, or that answers are spoilt
    rounds: int = 24  # of a race
    changes: int = 400
    rest_s: float = 4.0  # between a repair and the next loss, and that a lost process stays away


class Plays:
    """Plays faults on a running system. `events` says what was done."""

    def __init__(
        self,
        rig: Rig,
        runners: Runners,
        clients: Clients,
        records: Records,
        lengths: Lengths,
        dice: Callable[[str], random.Random],
        now: Callable[[], float],
    ) -> None:
        self._rig, self._runners, self._clients, self._lengths = rig, runners, clients, lengths
        self._now, self._records, self._dice = now, records, dice
        self._random = dice("plays")
        self._watch = Watch(rig)
        self._started = now()
        self._added: list[str] = []  # routes
        self._operators: list[Operator] = []
        self.operator = self._operator("first", rig.control_addresses)
        self.events: list[str] = []

    async def run(self, name: str) -> None:
        """Plays the fault of this name, and a last change on the system at rest. Raises PlayError."""
        plays = {
            "cut-off": self._cut_off,
            "one-way": self._one_way,
            "race": self._race,
            "second-loss": self._second_loss,
            "many-changes": self._many_changes,
            "answers": self._answers,
        }
        await self.operator.catch_up()
        await self._until_whole()
        await plays[name]()
        await self._until_whole()
        await self.operator.catch_up()
        end = self._now() + WHOLE_S
        while not await self._change():
            if self._now() > end:
                raise PlayError(f"no change is taken for {WHOLE_S:.0f} s after the last trouble")

    def close(self) -> None:
        """Ends all calls."""
        self._watch.close()
        for operator in self._operators:
            operator.close()

    # Control processes are cut off from the others

    async def _cut_off(self) -> None:
        edge = self._random.choice(self._rig.edges)
        await self._cut(await self._primary(), "primary, with an edge that starts anew,", starting=edge)
        await self._until_whole()
        await self._cut(self._random.choice(await self._backups()), "backup")

    async def _one_way(self) -> None:
        await self._cut(await self._primary(), "primary, which is not heard,", hold_incoming=False)
        await self._until_whole()
        await self._cut(await self._primary(), "primary, which hears nothing,", hold_outgoing=False)
        await self._until_whole()
        companion = self._random.choice(await self._backups())
        await self._cut(await self._primary(), f"primary, with {companion.place.name},", companion)

    async def _cut(
        self,
        machine: Machine,
        role: str,
        *companions: Machine,
        starting: Machine | None = None,
        hold_outgoing: bool = True,
        hold_incoming: bool = True,
    ) -> None:
        """Cuts it off while all call it: operators, runners that check in, and one that drains.

        An edge that is `starting` is on its side of the cut.
        """
        stranded = self._operator("stranded", lambda: [machine.control])
        stranded.current = copy.deepcopy(self.operator.current)
        group = [machine, *companions, *([starting] if starting else [])]
        async with asyncio.TaskGroup() as tasks:
            async with self._rig.cut_off(group, hold_outgoing, hold_incoming):
                end = self._now() + self._lengths.hold_s
                reading = tasks.create_task(self._reads_until(end, machine))
                self._note(f"{role} {machine.place.name} is cut off for {self._lengths.hold_s:g} s")
                for checkins in self._runners.checkins.values():
                    checkins.prefer(machine.control)
                tasks.create_task(self._runners.release(self._dispensable()))
                calling = tasks.create_task(stranded.change(self._addition(stranded)))
                if starting is not None:
                    await self._rig.restart(starting)
                await self._changes_until(end, starting)
                await reading
            taken = await calling
        self._note(f"{machine.place.name} is back; what was sent to it alone was {_verdict(taken)}")

    async def _reads_until(self, end: float, machine: Machine) -> None:
        """Reads at the machine that is cut off, from the first moment on."""
        while self._now() < end:
            await self.operator.look(machine.control)
            await asyncio.sleep(PAUSE_S)

    async def _changes_until(self, end: float, edge: Machine | None) -> None:
        """Changes and reads anywhere, and requests at that edge."""
        while self._now() < end:
            await self._change()
            await self.operator.look()
            if edge is not None:
                await self._clients.probe(edge, PROBED)
            await asyncio.sleep(PAUSE_S)

    # Two operators under one number

    async def _race(self) -> None:
        other = self._operator("second", self._rig.control_addresses)
        both = (self.operator, other)
        kinds = (self._one_number, self._replace_against_change, self._one_text, self._many_at_once)
        for operator in both:
            operator.lost_share, operator.copies = LOST_SHARE, COPIES
        for number in range(self._lengths.rounds):
            await asyncio.gather(*(operator.catch_up() for operator in both))
            loses = number % LOSS_EVERY == FIRST_LOSS
            failing = asyncio.create_task(self._lose_primary()) if loses else None
            taken = await kinds[number % len(kinds)](*both)
            if failing is not None:
                await failing
            await asyncio.gather(*(operator.send_again() for operator in both))
            self._note(f"race {number + 1}, {taken} taken")
        for operator in both:
            operator.lost_share, operator.copies = 0.0, 1

    async def _one_number(self, one: Operator, other: Operator) -> str:
        built_on, version = one.version, one.version + 1
        taken = await asyncio.gather(
            one.change(self._addition(one, version), built_on),
            other.change(self._addition(other, version), built_on),
        )
        return f"two changes under one number: {sum(taken)}"

    async def _replace_against_change(self, one: Operator, other: Operator) -> str:
        built_on, version = one.version, one.version + 1
        whole = copy.deepcopy(one.current)
        whole["config_version"] = version
        whole["routes"].append(self._route())
        taken = await asyncio.gather(
            one.replace(whole, built_on), other.change(self._addition(other, version), built_on)
        )
        return f"a whole configuration against a change: {sum(taken)}"

    async def _one_text(self, one: Operator, other: Operator) -> str:
        built_on, version = one.version, one.version + 1
        route = self._route()
        texts = [{"config_version": version + number, "add": {"routes": [route]}} for number in (0, 1)]
        taken = await asyncio.gather(one.change(texts[0], built_on), other.change(texts[1], built_on))
        return f"one text under two numbers: {sum(taken)}"

    async def _many_at_once(self, one: Operator, other: Operator) -> str:
        built_on = one.version
        broken = copy.deepcopy(one.current)
        broken["config_version"] = built_on + 1
        broken["routes"][0]["service"] = "no-such-service"
        calls = [
            (one, other)[number % 2].change(self._addition(one, built_on + 1 + number), built_on)
            for number in range(AT_ONCE - 1)
        ]
        taken = await asyncio.gather(other.replace(broken, built_on, valid=False), *calls)
        return f"{AT_ONCE} at once, a bad one among them: {sum(taken)}"

    async def _lose_primary(self) -> None:
        primary = await self._primary()
        await self._rig.kill(primary, DOWN_S)
        self._note(f"primary {primary.place.name} was killed meanwhile")

    # A second loss after a repair

    async def _second_loss(self) -> None:
        first, second = self._random.sample(await self._backups(), 2)
        await self._changes_during(self._rig.kill_all([first, second], DOWN_S, wipe=True))
        self._note(f"{first.place.name} and {second.place.name} lost their disks and are back")
        await self._recover()
        primary = await self._primary()
        other = next(one for one in self._rig.controls if one not in (primary, first, second))
        await self._changes_during(self._rig.kill_all([primary, other], self._lengths.rest_s))
        self._note(f"{primary.place.name} (primary) and {other.place.name} were lost after that")
        await self._recover()
        leaving, away = await self._primary(), self._random.choice(await self._backups())
        await self._changes_during(self._rig.kill(away, self._lengths.rest_s), self._rig.restart(leaving))
        self._note(f"{leaving.place.name} (primary) left by SIGTERM while {away.place.name} was down")

    async def _recover(self) -> None:
        began = self._now()
        await self._until_whole()
        self._note(f"all control processes are in one view after {self._now() - began:.1f} s more")
        await asyncio.sleep(max(began + self._lengths.rest_s - self._now(), 0.0))

    async def _changes_during(self, *troubles: Awaitable[None]) -> None:
        """Goes on with changes until these are over."""
        playing = asyncio.gather(*troubles)
        while not playing.done():
            await self._change()
            await self.operator.look()
            await asyncio.sleep(PAUSE_S)
        await playing

    # Hundreds of changes

    async def _many_changes(self) -> None:
        count = self._lengths.changes
        restarted, wiped = self._random.sample(await self._backups(), 2)
        began = self._now()
        await self._change_often(count // 4)
        await self._beside(self._rig.restart(restarted), count // 4)
        await self._beside(self._rig.kill(wiped, DOWN_S, wipe=True), count // 4)
        self._note(f"{restarted.place.name} was restarted and {wiped.place.name} lost its disk meanwhile")
        await self._recover()
        await self._beside(self._lose_primary(), count - 3 * (count // 4))
        self._note(f"{count} changes in {self._now() - began:.1f} s")

    async def _beside(self, trouble: Awaitable[None], count: int) -> None:
        await asyncio.gather(trouble, self._change_often(count))

    async def _change_often(self, count: int) -> None:
        for _ in range(count):
            await self._change()

    # Answers that are lost, spoilt, early, or of nobody

    async def _answers(self) -> None:
        end = self._now() + self._lengths.hold_s
        async with asyncio.TaskGroup() as group:
            group.create_task(self._spoil_until(end))
            group.create_task(self._disturb_links_until(end))
            group.create_task(self._darken_until(end))
            while self._now() < end:
                await self._change()
                await asyncio.sleep(PAUSE_S)

    async def _spoil_until(self, end: float) -> None:
        count = 0
        while self._now() < end:
            self._runners.misbehave(self._random.choice(self._runners.all))
            count += 1
            await asyncio.sleep(PAUSE_S)
        self._note(f"{count} answers of runners were spoilt")

    async def _darken_until(self, end: float) -> None:
        count = 0
        while self._now() < end:
            await self._runners.darken(self._dispensable(), DOWN_S)
            count += 1
            await asyncio.sleep(DOWN_S)
        self._note(f"runners fell silent {count} times")

    async def _disturb_links_until(self, end: float) -> None:
        count = 0
        hosts = [machine.ip for machine in self._rig.machines]
        while self._now() < end:
            machine = self._random.choice(self._rig.machines)
            await self._rig.links.impair(machine.ip, hosts, DELAY_MS, LOSS)
            await self._rig.reset_links(machine)
            await asyncio.sleep(PAUSE_S)
            await self._rig.reset_links(machine)
            await self._rig.links.impair(machine.ip, hosts, 0.0, 0.0)
            count += 2
        self._note(f"connections between processes were reset {count} times")

    # What plays have in common

    def _operator(self, name: str, controls: Callable[[], list[str]]) -> Operator:
        operator = Operator(controls, self._records, self._now, self._dice(f"operator {name}"))
        self._operators.append(operator)
        return operator

    def _dispensable(self) -> Runner:
        """A runner that another one can stand in for."""
        runners = self._runners
        several = [one for one in runners.all if len(runners.of(one.described.service)) > 1]
        return self._random.choice(several or runners.all)

    async def _primary(self) -> Machine:
        end = self._now() + WHOLE_S
        while (found := await self._watch.primary()) is None:
            if self._now() > end:
                raise PlayError(f"nobody is primary for {WHOLE_S:.0f} s")
            await asyncio.sleep(LOOK_S)
        return found

    async def _backups(self) -> list[Machine]:
        primary = await self._primary()
        return [machine for machine in self._rig.controls if machine is not primary]

    async def _until_whole(self) -> None:
        end = self._now() + WHOLE_S
        while not await self._watch.is_whole():
            if self._now() > end:
                raise PlayError(f"the control processes are not all in one view after {WHOLE_S:.0f} s")
            await asyncio.sleep(LOOK_S)

    async def _change(self) -> bool:
        """One more change; where its answer stays unclear, what is in force is read."""
        taken = await self.operator.change(self._addition(self.operator))
        if not taken:
            await self.operator.catch_up()
        return taken

    def _addition(self, operator: Operator, version: int = 0) -> Configuration:
        """A change that adds a route that nobody uses, and removes an old one of that kind."""
        mine = [route["name"] for route in operator.current["routes"] if route["name"].startswith("r-added-")]
        change: dict[str, Any] = {
            "config_version": version or operator.version + 1,
            "add": {"routes": [self._route()]},
        }
        if len(mine) > HELD_ROUTES:
            change["remove"] = {"routes": mine[:1]}
        return change

    def _route(self) -> dict[str, Any]:
        routes = self.operator.current["routes"]
        route = copy.deepcopy(next(one for one in routes if one["name"] == "r-level"))
        number = f"{self._random.getrandbits(32):08x}"
        return {
            **route,
            "name": f"r-added-{number}",
            "hostname": HOST,
            "service": LOOKUP,
            "path_start": f"/added-{number}/",
        }

    def _note(self, event: str) -> None:
        self.events.append(f"{self._now() - self._started:5.1f} s: {event}")


def _verdict(taken: bool) -> str:
    return "taken" if taken else "not taken"


FAULTS = ("cut-off", "one-way", "race", "second-loss", "many-changes", "answers")
