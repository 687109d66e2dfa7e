"""The links between simulated machines, and their faults."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

RELIABLE_DELAY_S = (0.0005, 0.004)
LOSS_AND_DUPLICATION_RATES = ((0.05, 0.05), (0.3, 0.1), (0.0, 0.5))
FAULTY_DELAYS_S = (RELIABLE_DELAY_S, (0.001, 0.2), (0.0, 0.03))

IsCut = Callable[[str, str], bool]
"""Whether messages from the first address to the second are dropped."""


def no_link_is_cut(sender: str, receiver: str) -> bool:
    """The predicate of a network without a partition."""
    return False


def cut_off(side: Collection[str]) -> IsCut:
    """A network partition: no message passes between `side` and the other machines."""
    return lambda sender, receiver: (sender in side) != (receiver in side)


def cut_off_one_way(side: Collection[str]) -> IsCut:
    """An asymmetric partition: `side` receives messages, but none that it sends arrives at the others."""
    return lambda sender, receiver: sender in side and receiver not in side


@dataclass
class Links:
    """The present faults of the links, which apply to each message.

    Attributes:
        loss_rate: Share of messages that are lost.
        duplication_rate: Share that arrive twice.
        delay_range_s: Range from which the delay of each message is drawn, so that messages are reordered.
        is_cut: The network partition in force.
    """

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    delay_range_s: tuple[float, float] = RELIABLE_DELAY_S
    is_cut: IsCut = field(default=no_link_is_cut)

    def become_unreliable(self, random_source: Random) -> None:
        """Draws new rates of loss and duplication, and a new range of delays."""
        self.loss_rate, self.duplication_rate = random_source.choice(LOSS_AND_DUPLICATION_RATES)
        self.delay_range_s = random_source.choice(FAULTY_DELAYS_S)

    def become_reliable(self) -> None:
        """Ends all faults except a partition."""
        self.loss_rate = self.duplication_rate = 0.0
        self.delay_range_s = RELIABLE_DELAY_S
