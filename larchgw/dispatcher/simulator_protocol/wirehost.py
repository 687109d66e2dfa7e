"""Hosts dispatchers for the simulator, with its protocol on stdin and stdout.

Run as `python -m larchgw.dispatcher.simulator_protocol.wirehost`.
"""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO

from ..scheduling.interface import Member
from ..scheduling.scheduler import Dispatcher
from . import wire


class Host:
    """Runs one dispatcher per SPAWN event. They share only the decoded worker lists, which are immutable."""

    def __init__(self) -> None:
        self.out: list[bytes] = []
        self.dispatchers: dict[int, Dispatcher] = {}
        self.ledgers: dict[int, tuple[Member, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """Feeds a batch to the dispatchers and returns the reply frame."""
        now, events = wire.decode(frame)
        out, dispatchers = self.out, self.dispatchers
        out.clear()
        for code, instance, content in events:
            if code == wire.LEDGER:
                self.ledgers[instance] = content
                continue
            if code == wire.SPAWN:
                settings = wire.decode_settings(content[1])
            elif instance not in dispatchers:
                if code == wire.EXIT:
                    continue
                raise wire.WireError(
                    f"event of code {code} for instance {instance}, which has not been started"
                )
            elif code == wire.SYNC and content[0] != 3 and content[1] not in self.ledgers:
                raise wire.WireError(f"list number {content[1]} was never sent")
            try:
                if code == wire.SPAWN:
                    dispatchers[instance] = Dispatcher(settings, content[0], wire.WireActions(out, instance))
                else:
                    self.deliver(now, code, instance, content)
            except (
                Exception
            ) as error:  # a bug in the dispatcher: report it to the simulator, which ends the run
                wire.WireActions(out, instance).log(f"{type(error).__name__}: {error}", 9)
                print(f"instance {instance}: {type(error).__name__}: {error}", file=sys.stderr)
        return wire.encode_reply(out)

    def deliver(self, now: float, code: int, instance: int, content: Any) -> None:
        """Passes an event to the matching method of its dispatcher."""
        d = self.dispatchers[instance]
        if code == wire.RESOLVED:
            d.on_outcome(now, content)
        elif code == wire.ORDER:
            d.on_request(now, content)
        elif code == wire.UPDATE:
            d.on_attempt_progress(now, content)
        elif code == wire.FIRED:
            d.on_timer(now, content)
        elif code == wire.SYNC:
            d.on_members(now, content[0], () if content[0] == 3 else self.ledgers[content[1]])
        elif code == wire.PINGED:
            d.on_probe_result(now, *content)
        elif code == wire.CANCELLED:
            d.on_client_gone(now, content)
        elif code == wire.HEADERS:
            d.on_answer_started(now, *content)
        elif code == wire.EXIT:
            del self.dispatchers[instance]


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the end of input; returns the exit code."""
    host = Host()
    gc.freeze()
    gc.set_threshold(200_000, 50, 50)
    try:
        while (frame := wire.read_frame(source)) is not None:
            sink.write(host.answer(frame))
            sink.flush()
    except wire.WireError as error:
        print(f"larchgw: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
