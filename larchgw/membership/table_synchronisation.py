"""Anti-entropy between member tables, with seeds and with members whose digests differ."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from .addresses import is_valid_address
from .member_states import MemberStates
from .messages import Page, Pull
from .outbound_datagrams import OutboundDatagrams
from .pull_progress import PullProgress
from .seeds import Seeds
from .settings import SwimSettings


class TableSynchronisation:
    """Pulls differing records from other members, and answers their pulls.

    Times are seconds on the monotonic clock.
    """

    def __init__(
        self,
        settings: SwimSettings,
        random_source: Random,
        states: MemberStates,
        outbound: OutboundDatagrams,
    ) -> None:
        """Starts without seeds and without a pull."""
        self._states = states
        self._outbound = outbound
        self._seeds = Seeds(settings, random_source)
        self._progress = PullProgress(settings, random_source)

    def replace_seeds(self, addresses: Sequence[str]) -> None:
        """Replaces the seeds; invalid addresses are omitted."""
        self._seeds.replace([address for address in addresses if is_valid_address(address)])

    def tick(self, now: float) -> None:
        """Starts a pull from a seed and sends the request for a page, if these are due."""
        is_alone = self._states.table.present_count() <= 1
        seed = self._seeds.next_due(now, is_alone, self._states.is_present)
        if seed is not None:
            self._progress.start(now, seed, attempts=1)
        request = self._progress.next_request(now, self._outbound.next_sequence())
        if request is not None:
            self._outbound.add_pull(request.address, request.sequence, request.cursor)

    def observe_digest(self, now: float, address: str, digest: int) -> None:
        """Starts a pull from the member at `address` if its digest differs from that of this table."""
        if digest != self._states.table.digest:
            self._progress.start_if_due(now, address)

    def receive_pull(self, address: str, pull: Pull) -> None:
        """Answers a pull with a page."""
        self._outbound.add_page(address, pull)

    def receive_page(self, now: float, address: str, page: Page) -> None:
        """Merges the records of a page, and continues with the next one."""
        source = page.sender.address
        changed = [self._states.receive_table_record(now, update, source) for update in page.updates]
        has_peers = self._states.table.present_count() > 1
        next_peer = self._states.sample_peers(1)[0] if has_peers else address
        self._progress.receive_page(now, page.sequence, page.next_cursor, any(changed), next_peer)
