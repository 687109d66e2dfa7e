"""One simulated machine: its disk, its process, and what the process has built from records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...identifiers import MemberId
from ...replication.member import Member
from ...replication.messages import Envelope
from ..simulated_disk import SimulatedDisk


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that its caller waits for.

    Attributes:
        base_version: The version on top of which it was made.
        record: What it adds to the log.
    """

    base_version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Wakeup:
    """Something that a process waits for in its own code; it ends with the process.

    Attributes:
        incarnation: Of the process that waits.
        resume: Goes on.
    """

    incarnation: int
    resume: Callable[[], None]


@dataclass
class Machine:
    """One machine of the simulated cluster.

    Attributes:
        address: Its rpc address; never given to another machine.
        disk: All that is left of it once its process ends.
        clock_offset: Seconds by which its monotonic clock was ahead of the simulation's time at its begin.
        clock_rate: Seconds of that clock to one of the simulation.
        member: Its process, None while that does not run.
        incarnation: Counts the starts of its process.
        is_frozen: Whether the process stands still while its clock goes on.
        inbox: What came while it was frozen.
        version: Index of the newest record that the process has applied.
        proposals: Its own proposals that are not decided, by the number of their call.
        reads: By the number of the call, the newest acknowledged index when the read began.
        announcements: Numbers of its calls that announce acts and have not ended.
        digest: What its state comes to, seen from outside.
    """

    address: str
    disk: SimulatedDisk
    clock_offset: float
    clock_rate: float = 1.0
    member: Member | None = None
    incarnation: int = 0
    is_frozen: bool = False
    inbox: list[Envelope | Wakeup] = field(default_factory=list)
    version: int = 0
    proposals: dict[int, Proposal] = field(default_factory=dict)
    reads: dict[int, int] = field(default_factory=dict)
    announcements: set[int] = field(default_factory=set)
    digest: tuple[object, ...] = ()

    @property
    def id(self) -> MemberId:
        """The identity on its disk; empty if there is none."""
        return self.disk.member_id

    @property
    def name(self) -> str:
        """Names this incarnation of the process."""
        return f"{self.address}/{self.incarnation}"

    def forget_process(self) -> None:
        """Drops what the process before held in memory only."""
        self.version = 0
        self.proposals.clear()
        self.reads.clear()
        self.announcements.clear()
        self.inbox.clear()
        self.is_frozen = False
