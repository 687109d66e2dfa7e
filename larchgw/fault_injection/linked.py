"""Runs the program under links that a test may cut.

`python -m larchgw.fault_injection.linked FD ARGUMENT...` runs `python -m larchgw ARGUMENT...`.

FD is an inherited datagram socket from which orders come; the first one lies there before the start. Once
its other end is closed, the program is told to end.
"""

from __future__ import annotations

import asyncio
import os
import random
import runpy
import signal
import socket
import sys

from .links import Links
from .loop import LinkedPolicy
from .orders import MAX_MESSAGE_BYTES, Order


def main() -> None:
    """Takes the first order and becomes the program; the program knows nothing of it."""
    _, descriptor, *arguments = sys.argv
    orders = socket.socket(fileno=int(descriptor))
    links = Links(random.Random(descriptor))
    links.apply(Order.decode(orders.recv(MAX_MESSAGE_BYTES)))
    asyncio.set_event_loop_policy(LinkedPolicy(links, orders, _end))
    sys.argv = ["larchgw", *arguments]
    runpy.run_module("larchgw", run_name="__main__", alter_sys=True)


def _end() -> None:
    """The test has ended and left this process behind."""
    os.kill(os.getpid(), signal.SIGTERM)


if __name__ == "__main__":
    main()
