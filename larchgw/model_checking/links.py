"""The links between simulated machines: what they do to messages at present, and how they fail."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

RELIABLE_DELAY_S = (0.0005, 0.004)
LOSS_AND_DUPLICATION_RATES = ((0.05, 0.05), (0.3, 0.1), (0.0, 0.5))
FAULTY_DELAYS_S = (RELIABLE_DELAY_S, (0.001, 0.2), (0.0, 0.03))

IsCut = Callable[[str, str], bool]
"""Whether messages from the first address to the second are lost."""


def no_link_is_cut(sender: str, receiver: str) -> bool:
    """The state of links without a network partition."""
    return False


def cut_off(side: Collection[str]) -> IsCut:
    """A network partition: nothing passes between this side and the other machines."""
    return lambda sender, receiver: (sender in side) != (receiver in side)


def cut_off_one_way(side: Collection[str]) -> IsCut:
    """An asymmetric partition: this side receives, but nothing that it sends arrives at the others."""
    return lambda sender, receiver: sender in side and receiver not in side


@dataclass
class Links:
    """What the links do to each message.

    Attributes:
        loss_rate: Share of messages that are lost.
        duplication_rate: Share that arrive twice.
        delay_range_s: Each is delayed by a time drawn from this range, so that they overtake one another.
        is_cut: The network partition in force.
    """

    loss_rate: float = 0.0
    duplication_rate: float = 0.0
    delay_range_s: tuple[float, float] = RELIABLE_DELAY_S
    is_cut: IsCut = field(default=no_link_is_cut)

    def become_unreliable(self, random_source: Random) -> None:
        """Draws how many messages are lost, doubled and late from now on."""
        self.loss_rate, self.duplication_rate = random_source.choice(LOSS_AND_DUPLICATION_RATES)
        self.delay_range_s = random_source.choice(FAULTY_DELAYS_S)

    def become_reliable(self) -> None:
        """Ends all faults but a partition."""
        self.loss_rate = self.duplication_rate = 0.0
        self.delay_range_s = RELIABLE_DELAY_S
