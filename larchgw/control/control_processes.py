"""The control processes with which this one exchanges entries, and their addresses."""

from __future__ import annotations

from collections.abc import Sequence

from ..membership.member import Member as Process
from ..membership.swim import Swim
from .latest_view import LatestView


class ControlProcesses:
    """The control processes known from membership and from the latest view.

    All addresses are RPC addresses ("host:port").
    """

    def __init__(self, swim: Swim, latest_view: LatestView, own_address: str, seeds: Sequence[str]) -> None:
        """Keeps the sources; every call evaluates them again.

        Args:
            swim: The membership protocol of this process.
            latest_view: Source of the witnesses.
            own_address: RPC address of this process.
            seeds: RPC addresses from the seed list in the settings.
        """
        self._swim, self._latest_view = swim, latest_view
        self._own_address = own_address
        self._seeds = tuple(seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def present(self) -> list[Process]:
        """The current members that serve RPC, including this process."""
        return [process for process in self._swim.members("control") if process.address_rpc]

    def peers(self) -> list[str]:
        """Addresses of the other control processes that are present."""
        return [process.address_rpc for process in self.present() if process.address_rpc != self._own_address]

    def all_addresses(self) -> list[str]:
        """Addresses of this process and its peers, starting with its own."""
        return [self._own_address, *self.peers()]

    def peers_and_witnesses(self) -> list[str]:
        """Addresses of the peers, followed by those of witnesses that are not peers.

        Witnesses are included even while membership considers them dead, because contact with a majority of
        the witnesses must still be proven.
        """
        witnesses = self._latest_view.other_witnesses(self._own_address)
        return list(dict.fromkeys([*self.peers(), *witnesses]))

    def contacts(self) -> set[str]:
        """Addresses that the replication member asks to join, and contacts during an election."""
        return set(self.peers()) | set(self._seeds) - {self._own_address}
