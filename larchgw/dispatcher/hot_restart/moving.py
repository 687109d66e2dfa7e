"""Moves open jobs from a process that stops to the one that has taken over: a packet with up to two sockets.

Some jobs cannot be moved: those of other fronts or transports, and those whose request or answer is partly
written.
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
from ..workers.connection import RunnerConnection
from ..workers.pool import RunnerPool

MAX_PACKET = 192 << 10
MAX_FDS = 2


def pack(request: Request, core: Core) -> tuple[bytes, list[int]] | None:
    """Serializes a job.

    Times are sent without the clock's `offset`, which differs between processes.

    Returns:
        The packet and its descriptors: the client's, and the worker's if an attempt is in flight. None if the
        job cannot be moved.
    """
    exchange, out = request.extra, [a for a in request.attempts if not a.ended]
    offset, job_class = core.clock.offset, core.settings.classes[request.job_class].name
    if not isinstance(exchange, Exchange) or not exchange.channel.is_movable(exchange) or request.is_closed():
        return None
    message: dict[str, Any] = {
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
        if out != request.attempts[-1:] or not isinstance(link, RunnerConnection) or not link.movable():
            return None
        message |= {"address": link.address, "answer": _text(link.answer_so_far())}
        fds.append(link.connection.sock.fileno())  # type: ignore[union-attr]
    packet = json.dumps(message).encode()
    return (packet, fds) if len(packet) <= MAX_PACKET else None


def unpack(
    packet: bytes, socks: list[socket.socket], core: Core, platform: PlatformFront, runners: RunnerPool
) -> None:
    """Takes over a job from a packet. The packet is fully checked before a socket is used.

    Raises:
        KeyError, TypeError, ValueError, IndexError: The packet is not a result of `pack`.
    """
    message, offset = json.loads(packet), core.clock.offset
    wait, key, slots, memory, hint, repeat = message["figures"]
    job_class = [c.name for c in core.settings.classes].index(message["class"])
    attempts = [
        (_bytes(worker), sent + offset, begun and begun + offset, None if status is None else Status(status))
        for worker, sent, begun, status in message["attempts"]
    ]
    answer, until, taken = (
        _bytes(message.get("answer", "")),
        message["until"] + offset,
        message["taken"] + offset,
    )
    request = Request(
        platform,
        _bytes(message["name"]),
        job_class,
        _bytes(message["target"]),
        _bytes(message["body"]),
        wait,
        key,
        slots,
        memory,
        hint,
        repeat,
        message.get("tenant", core.tenant(b"")),
        _bytes(message.get("once", "")),
    )
    out = socks[1] if attempts and attempts[-1][3] is None else None
    host, port = message["address"] if out else ("", 0)
    method, keep = _bytes(message["method"]), bool(message["keep"])
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
        for index, (worker, sent, begun, status) in enumerate(attempts)
    ]
    request.extra = platform.server.adopt(socks[0], method, request.target, keep)
    request.extra.handler_data = request
    core.adopt(request, taken, until)
    if out is not None:
        runners.adopt(request.attempts[-1], (host, port), out, answer)


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def _bytes(text: str) -> bytes:
    return b64decode(text, validate=True)
