"""A box at an address."""

from __future__ import annotations

import json

from ..box import Box, Said, Work
from ..rules import Records, Sent
from .httpserver import Exchange, Handler


class BoxServer(Handler):
    """Serves one box. A job's body says what it takes: `{"work": seconds, "slots": n}`."""

    def __init__(self, box: Box, records: Records) -> None:
        super().__init__()
        self.box, self.records = box, records

    def handle(self, exchange: Exchange) -> None:
        box, now = self.box, self.box.time.now()
        if exchange.path == "/-/load":
            exchange.reply(200, b"", f"X-Load: {self._load()}\r\n")
            return
        name = exchange.headers.get("x-request-id", "")
        try:
            asked = json.loads(exchange.body)
            work = Work(
                name,
                float(asked["work"]),
                lambda w, said: self._said(exchange, w, said, sent),
                int(exchange.headers.get("x-key", "0") or "0", 16),
                int(asked.get("slots", 1)),
            )
        except (ValueError, KeyError, TypeError):
            exchange.reply(400 if name else 404, b"no job\n")
            return
        sent = Sent(name, box.spec.name, now)
        self.records.sent[name].append(sent)
        self.records.sent_by.append(("larchgw", box.spec.name, now))
        exchange.on_lost = lambda: self._lost(work, sent)
        box.offer(work)

    def _said(self, exchange: Exchange, work: Work, said: Said, sent: Sent) -> None:
        name, box = work.request, self.box
        if said is Said.STARTED:
            exchange.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            exchange.chunk({"id": name, "from": box.spec.name, "state": "started"})
            return
        if said is Said.PROGRESS:
            exchange.chunk({"id": name, "from": box.spec.name, "state": "running", "share": 0.5})
            return
        sent.until = box.time.now()
        sent.never_ran = said is Said.FULL
        exchange.on_lost = None
        if said is Said.FULL:
            exchange.reply(503, b"", f"X-Not-Run: 1\r\nX-Load: {self._load()}\r\n")
        elif said is Said.LOST:
            exchange.abort()
        elif said is Said.FAILED:
            exchange.reply(500, b"", f"X-Load: {self._load()}\r\n")
        else:
            exchange.chunk(
                {
                    "id": name,
                    "from": box.spec.name,
                    "state": "done",
                    "result": box.spec.name,
                    "load": self._figures(),
                }
            )
            exchange.write(b"0\r\n\r\n")
            exchange.done()

    def _lost(self, work: Work, sent: Sent) -> None:
        """The dispatcher has closed the connection: it has given the attempt up."""
        sent.until = min(sent.until, self.box.time.now())
        self.box.cancel(work)

    def _load(self) -> str:
        return ",".join(f"{name}={value:g}" for name, value in self._figures().items())

    def _figures(self) -> dict[str, float]:
        return dict(zip(("eps", "queue", "x0"), self.box.report, strict=True))
