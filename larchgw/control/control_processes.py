"""Which control processes this one exchanges entries with, and at which addresses."""

from __future__ import annotations

from collections.abc import Sequence

from ..membership.member import Member as Process
from ..membership.swim import Swim
from .latest_view import LatestView


class ControlProcesses:
    """The control processes that membership and the latest view name.

    All addresses are rpc addresses ("host:port").
    """

    def __init__(self, swim: Swim, latest_view: LatestView, own_address: str, seeds: Sequence[str]) -> None:
        """Makes the lists; each is read anew at every call.

        Args:
            swim: Membership of this process.
            latest_view: Names the witnesses.
            own_address: Rpc address of this process.
            seeds: Rpc addresses of the settings' seed list.
        """
        self._swim, self._latest_view = swim, latest_view
        self._own_address = own_address
        self._seeds = tuple(seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replaces the seeds after the settings have changed."""
        self._seeds = tuple(seeds)

    def present(self) -> list[Process]:
        """Those that are members now and serve rpc, this one included."""
        return [process for process in self._swim.members("control") if process.address_rpc]

    def peers(self) -> list[str]:
        """Addresses of the other processes that are present."""
        return [process.address_rpc for process in self.present() if process.address_rpc != self._own_address]

    def all_addresses(self) -> list[str]:
        """Addresses of this process and its peers, the own one first."""
        return [self._own_address, *self.peers()]

    def peers_and_witnesses(self) -> list[str]:
        """The peers, then the witnesses that are none of them.

        Witnesses are named also while membership takes them for lost: they decide on contact.
        """
        witnesses = self._latest_view.other_witnesses(self._own_address)
        return list(dict.fromkeys([*self.peers(), *witnesses]))

    def contacts(self) -> set[str]:
        """Addresses at which the replication member asks to join, and among which the election goes on."""
        return set(self.peers()) | set(self._seeds) - {self._own_address}
