"""HTTP/1.1 requests on a Tornado stream, as a runner that may misbehave in its answers needs it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

HEAD_BYTES = 65536
BODY_BYTES = 4 << 20


class BadMessage(Exception):
    """The peer sent no request that can be read; close the connection."""


@dataclass(slots=True)
class Request:
    """One request. Names of headers are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Its attempt id; empty without one."""
        return self.headers.get("x-attempt-id", "")

    @property
    def body_bytes(self) -> int:
        """The length of its body, as its head tells."""
        return int(self.headers.get("content-length", "0"))

    def json(self) -> dict[str, Any] | None:
        """Its body as a JSON object; None if it is none."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return None
        return value if isinstance(value, dict) else None


async def read_head(stream: IOStream) -> Request:
    """The next request without its body. Raises StreamClosedError and BadMessage."""
    try:
        head = (await stream.read_until(b"\r\n\r\n", HEAD_BYTES)).decode("latin-1")
    except UnsatisfiableReadError:
        raise BadMessage("the head is too long") from None
    line, *fields = head.rstrip("\r\n").split("\r\n")
    words = line.split(" ")
    if len(words) != 3:
        raise BadMessage(f"no request line: {line!r}")
    pairs = (item.partition(":") for item in fields)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = headers.get("content-length", "0")
    if not length.isdigit() or int(length) > BODY_BYTES or "transfer-encoding" in headers:
        raise BadMessage("a body without a length, or too long")
    return Request(words[0], words[1], headers, b"")


async def read_body(stream: IOStream, request: Request) -> None:
    """Reads the body of a request whose head has been read. Raises StreamClosedError."""
    if request.body_bytes:
        request.body = await stream.read_bytes(request.body_bytes)


def head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """The head of an answer; chunked where the length isn't known."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items()), framing]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a body; empty data ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def send(stream: IOStream, data: bytes) -> bool:
    """Writes without waiting; False if the connection is closed."""
    try:
        stream.write(data)
    except StreamClosedError:
        return False
    return True
