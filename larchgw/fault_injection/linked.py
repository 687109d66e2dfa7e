"""Entry point that runs the program with links whose faults a test controls.

`python -m larchgw.fault_injection.linked FD ARGUMENT...` runs `python -m larchgw ARGUMENT...`.

FD is an inherited SOCK_SEQPACKET socket that delivers orders. The first order is sent before the start. When
the other end is closed, the program is terminated.
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
    """Applies the first order, installs the event loop policy and runs the program unchanged."""
    _, descriptor, *arguments = sys.argv
    orders = socket.socket(fileno=int(descriptor))
    links = Links(random.Random(descriptor))
    links.apply(Order.decode(orders.recv(MAX_MESSAGE_BYTES)))
    asyncio.set_event_loop_policy(LinkedPolicy(links, orders, _terminate))
    sys.argv = ["larchgw", *arguments]
    runpy.run_module("larchgw", run_name="__main__", alter_sys=True)


def _terminate() -> None:
    """Terminates this process, because the test has closed the socket for orders."""
    os.kill(os.getpid(), signal.SIGTERM)


if __name__ == "__main__":
    main()
