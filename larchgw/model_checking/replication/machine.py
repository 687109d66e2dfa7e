"""A simulated machine with its disk, its process, and the state that its process has built from records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...identifiers import MemberId
from ...replication.member import Member
from ...replication.messages import Envelope
from ..simulated_disk import SimulatedDisk


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed change whose caller waits for its outcome.

    Attributes:
        base_version: Version that the change is based on.
        record: Record that it appends to the log.
    """

    base_version: int
    record: bytes


@dataclass(frozen=True, slots=True)
class Wakeup:
    """A scheduled resumption of a process's code; dropped if the process has ended.

    Attributes:
        incarnation: Incarnation of the waiting process.
        resume: Resumes the code.
    """

    incarnation: int
    resume: Callable[[], None]


@dataclass
class Machine:
    """One machine of the simulated cluster.

    Attributes:
        address: RPC address, never reused for another machine.
        disk: The only state that survives the process.
        clock_offset: Seconds by which the monotonic clock is ahead of simulated time, besides its rate.
        clock_rate: Seconds of the monotonic clock per second of simulated time.
        member: The running process; None if there is none.
        incarnation: Number of starts of the process.
        is_frozen: Whether the process is suspended; its clock goes on.
        inbox: Messages that arrived while the process was frozen.
        version: Index of the newest record that the process has applied.
        proposals: Undecided proposals of this process, by call number.
        reads: Newest acknowledged index at the start of each pending read, by call number.
        announcements: Numbers of the pending calls that announce actions.
        digest: Summary of the observable state.
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
        """The member identity on the disk; empty if there is none."""
        return self.disk.member_id

    @property
    def name(self) -> str:
        """Name of this incarnation of the process."""
        return f"{self.address}/{self.incarnation}"

    def forget_process(self) -> None:
        """Drops the in-memory state of the previous process."""
        self.version = 0
        self.proposals.clear()
        self.reads.clear()
        self.announcements.clear()
        self.inbox.clear()
        self.is_frozen = False
