"""The system's real processes on loopback addresses: started with settings files, disturbed, ended by pid."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import sys
from collections.abc import AsyncIterator, Callable, Collection, Sequence
from contextlib import ExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ...configuration.settings import SETTINGS_FILE_VARIABLE, TimeLimits
from ...fault_injection.link_controller import LinkController
from .network import CONTROL_OFFSET, FRONT_OFFSET, READY_OFFSET, Network
from .records import Records, Trouble
from .site import ZONE_NAMES, ZONES

ROOT = Path(__file__).parent.parent.parent.parent
BEAT_MS = 600
FIRST_CONTROL, FIRST_EDGE = 10, 40  # numbers of machines in the network; spares follow the controls
CONTROL, EDGE = "control", "edge"
_PRIMARY = re.compile(r"event=primary\.acquired view_epoch=(\d+) ")
END_SLACK_S = 5.0  # beyond the time for an orderly end, on a busy machine
SEEDS = 3
LINKED = "larchgw.fault_injection.linked"  # the program's entry under links that a test may cut


PLANNED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


@dataclass(frozen=True, slots=True)
class DelayedSignal:
    """A signal in a series, and how long after the one before it is sent."""

    delay_s: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Place:
    """One machine: its role, its number in the network and its zone."""

    name: str
    role: str
    number: int
    zone: str


class Machine:
    """One process of the system and the machine that it stands for."""

    def __init__(
        self,
        place: Place,
        network: Network,
        folder: Path,
        link_controller: LinkController | None = None,
        source: Path = ROOT,
    ) -> None:
        self.place, self.network, self._link_controller = place, network, link_controller
        self.folder = folder / place.name
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self._descriptor: int | None = None  # pidfd of the process
        self.exits: list[int] = []  # statuses of ends that were asked for by SIGTERM
        self.source = source  # folder of the checkout whose program it runs from its next start on

    @property
    def ip(self) -> str:
        """Its address."""
        return self.network.host(self.place.number)

    @property
    def front(self) -> str:
        """Where clients connect (edges)."""
        return self.network.address(self.place.number, FRONT_OFFSET)

    @property
    def ready(self) -> str:
        """Where readiness is asked (edges)."""
        return self.network.address(self.place.number, READY_OFFSET)

    @property
    def control(self) -> str:
        """Where runners and the operator call (controls)."""
        return self.network.address(self.place.number, CONTROL_OFFSET)

    @property
    def is_core(self) -> bool:
        """Whether it belongs to the core."""
        return self.place.role == CONTROL

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.returncode is None

    @property
    def log(self) -> Path:
        """What its processes have written."""
        return self.folder / "log"

    def settings(
        self, seeds: list[str], limits: TimeLimits, first_boot: bool, survive: int = 1
    ) -> dict[str, Any]:
        """Its settings file, as a platform would write it; `survive`: machines that may be lost at once."""
        listen = {"control": self.control} if self.is_core else {"front": self.front, "ready": self.ready}
        return {
            "node_name": self.place.name,
            "role": self.place.role,
            "machine_class": "core" if self.is_core else "edge",
            "serves": [self.place.role],
            "ip": self.ip,
            "zone": self.place.zone,
            "region": ZONES[self.place.zone],
            "zones": ZONES,
            "listen": listen,
            "spare_ports": self.network.spare_ports(),
            "seed_list": seeds,
            "first_boot": first_boot,
            "counts_for_quorum": self.is_core,
            "limits": {
                "cpu_share": 1.0,
                "cpus": 1,
                "memory_mb": 300,
                "open_files": 1024,
                "link_mbps": 1000.0,
                "disk_mb": 128 if self.is_core else 0,
            },
            "data_dir": str(self.folder / "data") if self.is_core else None,
            "beat_ms": BEAT_MS,
            "survive": {"computers": survive, "zones": 0, "regions": 0},
            "time_limits": _fields(limits),
        }

    def write_settings(self, settings: dict[str, Any]) -> Path:
        """Writes the settings file whole, as a platform does while the process may read it."""
        file, new = self.folder / "local.json", self.folder / "local.json.new"
        new.write_text(json.dumps(settings))
        new.replace(file)
        return file

    async def start(self, settings: dict[str, Any]) -> None:
        """Writes the settings and starts the process."""
        file = self.write_settings(settings)
        if settings["data_dir"]:
            Path(settings["data_dir"]).mkdir(exist_ok=True)
        paths = filter(None, (str(self.source), os.environ.get("PYTHONPATH")))
        environment = os.environ | {SETTINGS_FILE_VARIABLE: str(file), "PYTHONPATH": os.pathsep.join(paths)}
        with self.log.open("ab") as log, ExitStack() as inherited:
            program, descriptors = ["larchgw"], []
            if self._link_controller is not None:
                orders = inherited.enter_context(self._link_controller.attach(self.ip))
                descriptors = [orders.fileno()]
                program = [LINKED, str(orders.fileno())]
            # A session of its own: a ctrl-C at the terminal is the trial's to pass on.
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *program,
                self.place.role,
                cwd=self.folder,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
                pass_fds=descriptors,
            )
        with suppress(ProcessLookupError):  # it has ended already
            self._descriptor = os.pidfd_open(self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is there.

        Not by `Process.send_signal`: that may take the exit status of a process that has just ended, so that
        asyncio reports 255 in its place.
        """
        if self.running and self._descriptor is not None:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._descriptor, number)

    async def terminate(self, grace_s: float) -> int:
        """SIGTERM, and SIGKILL if it takes longer than that. Returns the exit status."""
        if self.process is None:
            return 0
        self.signal(signal.SIGTERM)
        try:
            status = await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            status = await self.process.wait()
        self._close_descriptor()
        self.exits.append(status)
        return status

    async def kill(self) -> None:
        """SIGKILL."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._close_descriptor()

    def _close_descriptor(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
        self._descriptor = None

    def wipe(self) -> None:
        """Empties its disk. Its process must not run."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)


def _last_view(log: Path) -> int:
    """The number of the last view of which this process was the primary; 0 if it never was."""
    found = _PRIMARY.findall(log.read_text(errors="replace")) if log.exists() else []
    return int(found[-1]) if found else 0


def _fields(limits: TimeLimits) -> dict[str, Any]:
    return {name: getattr(limits, name) for name in TimeLimits.__dataclass_fields__}


class Rig:
    """All machines. What is done to them is written into the records, for the judge.

    Only where it is `linked` can links be cut or reset.
    """

    def __init__(
        self,
        network: Network,
        folder: Path,
        records: Records,
        limits: TimeLimits,
        now: Callable[[], float],
        controls: int,
        edges: int,
        linked: bool = False,
        source: Path = ROOT,
    ) -> None:
        self._network, self._folder, self._records, self._limits = network, folder, records, limits
        self._now, self._source = now, source
        self.links = LinkController()
        self._link_controller = self.links if linked else None
        self._survive = max((controls - 1) // 2, 1)
        self.controls = [self._machine(CONTROL, number, FIRST_CONTROL + number) for number in range(controls)]
        self.edges = [self._machine(EDGE, number, FIRST_EDGE + number) for number in range(edges)]
        self._next_number = FIRST_CONTROL + controls
        self._seeds = [machine.control for machine in self.controls[:SEEDS]]

    @property
    def machines(self) -> list[Machine]:
        """Those that are in use."""
        return [*self.controls, *self.edges]

    def control_addresses(self) -> list[str]:
        """Where runners and the operator may call."""
        return [machine.control for machine in self.controls]

    def primary(self) -> Machine:
        """The control process that has said last that it is the primary; the first one if none has."""
        return max(self.controls, key=lambda machine: _last_view(machine.log))

    async def all_listen(self) -> bool:
        """Whether every control process takes connections."""
        try:
            for address in self.control_addresses():
                host, _, port = address.rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
        except OSError:
            return False
        return True

    async def start(self) -> None:
        """The first start of the whole system, with empty disks."""
        for machine in self.machines:
            await self._start(machine, first_boot=True)

    async def stop(self) -> list[int]:
        """Ends everything in good order, edges first; the exit statuses."""
        statuses: list[int] = []
        for group in (self.edges, self.controls):
            for machine in group:
                machine.signal(signal.SIGCONT)
            statuses += await asyncio.gather(*(self._terminate(machine) for machine in group))
        return statuses

    async def abandon(self) -> None:
        """Kills what still runs."""
        for machine in self.machines:
            await machine.kill()
        self.links.close()

    # Troubles

    async def kill(self, machine: Machine, for_s: float, wipe: bool = False) -> None:
        """Kills the process and starts it again after that time; with `wipe` on an empty disk."""
        trouble = self._begin(machine)
        await machine.kill()
        if wipe:
            machine.wipe()
        await asyncio.sleep(for_s)
        await self._start(machine)
        self._end(trouble)

    async def kill_all(self, machines: list[Machine], for_s: float, wipe: bool = False) -> None:
        """Kills many processes at the same moment, and starts them again; with `wipe` on empty disks."""
        troubles = [self._begin(machine) for machine in machines]
        for machine in machines:
            machine.signal(signal.SIGKILL)
        await asyncio.gather(*(machine.kill() for machine in machines))
        if wipe:
            for machine in machines:
                machine.wipe()
        await asyncio.sleep(for_s)
        for machine in machines:
            await self._start(machine)
        for trouble in troubles:
            self._end(trouble)

    async def freeze(self, machine: Machine, for_s: float) -> None:
        """Stops the process without its knowledge, and lets it go on."""
        trouble = self._begin(machine, ends_life=False)
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        machine.signal(signal.SIGCONT)
        self._end(trouble)

    async def restart(self, machine: Machine) -> None:
        """Ends the process in good order and starts it again."""
        trouble = self._begin(machine, planned=True)
        await self._terminate(machine)
        await self._start(machine)
        self._end(trouble)

    async def restart_disturbed(self, machine: Machine, further: Sequence[DelayedSignal]) -> None:
        """Ends the process in good order while it gets further signals, and starts it again."""
        planned = all(one.number in PLANNED_SIGNALS for one in further)
        trouble = self._begin(machine, planned=planned)
        machine.signal(signal.SIGTERM)
        await self._send_signals(machine, further)
        await self._terminate(machine)
        await self._start(machine)
        self._end(trouble)

    async def reload(self, machine: Machine, times: int, gap_s: float) -> None:
        """Rewrites the settings file, with the seeds in another order each time, and sends SIGHUP."""
        for _ in range(times):
            self._seeds = [*self._seeds[1:], self._seeds[0]]
            machine.write_settings(machine.settings(self._seeds, self._limits, False, self._survive))
            await self._send_signals(machine, [DelayedSignal(gap_s, signal.SIGHUP)])

    async def _send_signals(self, machine: Machine, signals: Sequence[DelayedSignal]) -> None:
        """Sends signals one after the other. A process that they stopped goes on at the end."""
        for one in signals:
            await asyncio.sleep(one.delay_s)
            machine.signal(one.number)
        machine.signal(signal.SIGCONT)

    @asynccontextmanager
    async def cut_off(
        self, group: Collection[Machine], hold_outgoing: bool = True, hold_incoming: bool = True
    ) -> AsyncIterator[None]:
        """Cuts these machines from all others, silently, in one direction or both.

        Runners, clients and operators still reach them. `hold_outgoing` holds what they send to the others,
        `hold_incoming` what the others send to them.
        """
        cut, hosts = [one.ip for one in group], [one.ip for one in self.machines]
        await self.links.isolate(cut, hosts, hold_outgoing, hold_incoming)
        troubles = [self._begin(machine, ends_life=False, cut_off=True) for machine in group]
        try:
            yield
        finally:
            for trouble in troubles:
                self._end(trouble)
            await self.links.rejoin(cut, hosts)

    async def reset_links(self, machine: Machine) -> None:
        """Resets all connections that the machine has opened to others of the system."""
        trouble = self._begin(machine, ends_life=False)
        await self.links.reset(machine.ip, [one.ip for one in self.machines])
        self._end(trouble)

    async def replace(self, machine: Machine) -> Machine:
        """Takes a control machine away for good; an empty one comes at another address."""
        trouble = self._begin(machine)
        await machine.kill()
        place = replace(machine.place, name=f"control-{self._next_number}", number=self._next_number)
        self._next_number += 1
        successor = Machine(place, self._network, self._folder, self._link_controller, self._source)
        self.controls[self.controls.index(machine)] = successor
        self._seeds = [one.control for one in self.controls[:SEEDS]]
        await self._start(successor)
        self._end(trouble)
        return successor

    # Inside

    def _machine(self, role: str, index: int, number: int) -> Machine:
        place = Place(f"{role}-{index + 1}", role, number, ZONE_NAMES[index % len(ZONE_NAMES)])
        return Machine(place, self._network, self._folder, self._link_controller, self._source)

    async def _start(self, machine: Machine, first_boot: bool = False) -> None:
        await machine.start(machine.settings(self._seeds, self._limits, first_boot, self._survive))

    async def _terminate(self, machine: Machine) -> int:
        return await machine.terminate(self._limits.grace_period_s + END_SLACK_S)

    def _begin(
        self, machine: Machine, planned: bool = False, ends_life: bool = True, cut_off: bool = False
    ) -> int:
        trouble = Trouble(machine.ip, self._now(), float("inf"), planned, machine.is_core, ends_life, cut_off)
        self._records.troubles.append(trouble)
        return len(self._records.troubles) - 1

    def _end(self, index: int) -> None:
        troubles = self._records.troubles
        troubles[index] = replace(troubles[index], until=self._now())
