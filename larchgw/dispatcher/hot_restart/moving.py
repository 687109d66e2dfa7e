"""One open job as a packet with its two sockets, from a process that ends to the one that has taken over.

What does not fit that form is not moved: jobs of other fronts or transports, and requests or answers in the
midst of being written.
"""

from __future__ import annotations

import json
import socket
from base64 import b64decode, b64encode
from typing import Any

from ...net.http_server import Exchange
from ..core import Attempt, Core, Request
from ..fronts.platform import PlatformFront
from ..scheduling.interface import Status
from ..workers.connection import RunnerLink
from ..workers.pool import Runners

MAX_PACKET = 192 << 10
MAX_FDS = 2


def pack(request: Request, core: Core) -> tuple[bytes, list[int]] | None:
    """The packet and its descriptors: the client's, and the worker's if an attempt is out. None if it stays.

    Times go without the clock's `offset`, which is each process's own.
    """
    exchange, out = request.extra, [a for a in request.attempts if not a.ended]
    offset, job_class = core.clock.offset, core.settings.classes[request.job_class].name
    if not isinstance(exchange, Exchange) or not exchange.channel.is_movable(exchange) or request.is_closed():
        return None
    told: dict[str, Any] = {
        "name": _text(request.name),
        "class": job_class,
        "target": _text(request.target),
        "body": _text(request.body),
        "taken": request.taken_at - offset,
        "until": request.give_up_at - offset,
        "once": _text(request.idempotency_key),
        "tenant": request.tenant,
        "figures": [request.wait, request.key, request.slots, request.memory, request.hint, request.repeat],
        "method": _text(exchange.method),
        "keep": exchange.keep_alive,
        "attempts": [
            [_text(a.worker), a.sent_at - offset, a.started and a.started_at - offset, a.status]
            for a in request.attempts
        ],
    }
    fds = [exchange.channel.descriptor()]
    if out:
        link = out[0].carrier
        if out != request.attempts[-1:] or not isinstance(link, RunnerLink) or not link.movable():
            return None
        told |= {"address": link.address, "answer": _text(link.answer_so_far())}
        fds.append(link.connection.sock.fileno())  # type: ignore[union-attr]
    packet = json.dumps(told).encode()
    return (packet, fds) if len(packet) <= MAX_PACKET else None


def unpack(
    packet: bytes, socks: list[socket.socket], core: Core, platform: PlatformFront, runners: Runners
) -> None:
    """Goes on with a job. KeyError, TypeError, ValueError or IndexError if the packet is not one of `pack`.

    Whatever may be wrong is found before a socket is used.
    """
    told, offset = json.loads(packet), core.clock.offset
    wait, key, slots, memory, hint, repeat = told["figures"]
    job_class = [c.name for c in core.settings.classes].index(told["class"])
    tries = [
        (_bytes(worker), sent + offset, begun and begun + offset, None if status is None else Status(status))
        for worker, sent, begun, status in told["attempts"]
    ]
    answer, until, taken = _bytes(told.get("answer", "")), told["until"] + offset, told["taken"] + offset
    request = Request(
        platform,
        _bytes(told["name"]),
        job_class,
        _bytes(told["target"]),
        _bytes(told["body"]),
        wait,
        key,
        slots,
        memory,
        hint,
        repeat,
        told.get("tenant", core.tenant(b"")),
        _bytes(told.get("once", "")),
    )
    out = socks[1] if tries and tries[-1][3] is None else None
    host, port = told["address"] if out else ("", 0)
    method, keep = _bytes(told["method"]), bool(told["keep"])
    request.attempts = [
        Attempt(
            request,
            index,
            worker,
            runners,
            sent,
            written=True,
            status=status,
            ended=status is not None,
            started_at=begun,
        )
        for index, (worker, sent, begun, status) in enumerate(tries)
    ]
    request.extra = platform.server.adopt(socks[0], method, request.target, keep)
    request.extra.extra = request
    core.adopt(request, taken, until)
    if out is not None:
        runners.adopt(request.attempts[-1], (host, port), out, answer)


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def _bytes(text: str) -> bytes:
    return b64decode(text, validate=True)
