"""A dispatcher inside a WSGI program (Flask, say), on a thread of its own.

    dispatcher = EmbeddedDispatcher(json.load(open("dispatcher.json")))
    dispatcher.start()
    app.wsgi_app = DispatchMiddleware(app.wsgi_app, dispatcher, {"/jobs/proof": "proof"})

`POST`s to the paths named become jobs, with the headers of the platform's protocol; everything else goes to
the wrapped application. `EmbeddedDispatcher.submit` hands a job in from any thread without HTTP.
"""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future
from http import HTTPStatus
from typing import Any

from .dispatcher.assembly import Node
from .dispatcher.config.startup import read
from .dispatcher.core import Answer, AnswerKind, Request
from .dispatcher.core.requests import News
from .dispatcher.fronts.jobheaders import ONCE, http_answer, key_number, read_job
from .net.http_server import MAX_BODY_BYTES

GRACE = 0.5  # seconds beyond a job's time for its answer to cross threads
StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class EmbeddedDispatcher:
    """The same core as the daemon's. `config` has the form of PROXY_CONFIG's file, without `listen`."""

    name = "wsgi"

    def __init__(self, config: Mapping[str, Any]) -> None:
        self._node = Node(read(dict(config), need_listen=False))
        self._classes = {c.name: index for index, c in enumerate(self._node.config.settings.classes)}
        self._thread = threading.Thread(target=self._run, name="larchgw", daemon=True)
        self._running = False
        self._lock = threading.Lock()  # a job handed in before the stop comes to the loop before it, too

    def start(self) -> None:
        """Begins to follow discovery and to take jobs."""
        self._running = True
        self._thread.start()

    def stop(self, timeout: float = 30.0) -> None:
        """Takes no more jobs, answers what is open, and ends the thread."""
        with self._lock:
            was, self._running = self._running, False
            if was:
                self._node.loop.call(self._stop_when_done)
        if was:
            self._thread.join(timeout)

    def figures(self) -> dict[str, float]:
        """The counters that are not 0."""
        return self._node.core.counters.figures()

    def deadline(self, job_class: str) -> float:
        """How long a client of this class waits, in seconds; KeyError for an unknown class."""
        return self._node.config.settings.classes[self._classes[job_class]].deadline

    def keyed(self, job_class: str) -> bool:
        """Whether workers drop repeats of this class by key; KeyError for an unknown class."""
        return self._node.config.settings.classes[self._classes[job_class]].effect == "deduplicated"

    def submit(
        self,
        job_class: str,
        body: bytes,
        *,
        target: str = "",
        name: str = "",
        wait: float = 0.0,
        key: str = "",
        slots: float = 1.0,
        memory: float = 0.0,
        hint: float = 0.0,
        repeat: bool = False,
        tenant: str = "",
        once: str = "",
    ) -> Future[Answer]:
        """Hands a job in; the future gets its one final answer. Cancelling it gives the job up.

        `once`: the key by which workers know a repeat of a deduplicated job; its name where left out.
        ValueError for one that no header can carry.
        """
        number = self._classes[job_class]
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("a body holds 64 KiB at most")
        if once and not ONCE.fullmatch(once.encode()):
            raise ValueError("once: must be 1 to 256 printable characters of ASCII")
        future: Future[Answer] = Future()
        name, target = name or secrets.token_hex(8), target or "/" + job_class
        request = Request(
            self,
            name.encode("latin-1"),
            number,
            target.encode("latin-1"),
            body,
            wait or self.deadline(job_class),
            key_number(key.encode()),
            slots,
            memory,
            hint,
            repeat,
            self._node.core.tenant(tenant.encode()),
            once.encode(),
            extra=future,
        )
        future.add_done_callback(lambda f: self._left(request) if f.cancelled() else None)
        with self._lock:
            if not self._running:
                raise RuntimeError("the dispatcher is not running")
            # One that is cancelled before the loop comes to it is never sent.
            self._node.loop.call(lambda: None if future.cancelled() else self._node.core.take(request))
        return future

    # As a front of the core, on the dispatcher's thread

    def answer(self, request: Request, answer: Answer) -> None:
        future: Future[Answer] = request.extra
        if future.set_running_or_notify_cancel():
            future.set_result(answer)

    def news(self, request: Request, kind: News, data: bytes) -> None:
        """A future hears of the end only."""

    def _left(self, request: Request) -> None:
        self._node.loop.call(lambda: self._node.core.gone(request) if request.id else None)  # 0: never taken

    def _run(self) -> None:
        self._node.start()
        self._node.loop.run()
        self._node.close()

    def _stop_when_done(self) -> None:
        loop = self._node.loop
        if self._node.core.open_requests():
            loop.deadlines.add(loop.clock.now() + 0.05, self._stop_when_done)
        else:
            loop.stop()


class DispatchMiddleware:
    """Takes the jobs on some paths out of an application's requests. `paths`: path to job class."""

    def __init__(self, app: WsgiApp, dispatcher: EmbeddedDispatcher, paths: Mapping[str, str]) -> None:
        for job_class in paths.values():
            dispatcher.deadline(job_class)
        self._app, self._dispatcher, self._paths = app, dispatcher, dict(paths)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        job_class = self._paths.get(environ.get("PATH_INFO", ""))
        if job_class is None:
            return self._app(environ, start_response)
        status, body, headers = self._answer(job_class, environ)
        start_response(
            f"{status} {HTTPStatus(status).phrase}", [*headers, ("Content-Length", str(len(body)))]
        )
        return [body]

    def _answer(
        self, job_class: str, environ: dict[str, Any]
    ) -> tuple[int, bytes, Iterable[tuple[str, str]]]:
        if environ["REQUEST_METHOD"] != "POST":
            return 405, b"POST only\n", [("Allow", "POST")]
        headers = {
            k[5:].replace("_", "-").lower().encode(): str(v).encode("latin-1")
            for k, v in environ.items()
            if k.startswith("HTTP_")
        }
        headers.setdefault(b"x-request-id", secrets.token_hex(8).encode())
        headers.setdefault(b"x-deadline-ms", b"%d" % (1000 * self._dispatcher.deadline(job_class)))
        try:
            job = read_job(headers, self._dispatcher.keyed(job_class))
            length = int(environ.get("CONTENT_LENGTH") or 0)
        except ValueError as error:
            return 400, f"{error}\n".encode(), ()
        if not 0 <= length <= MAX_BODY_BYTES:
            return 413, b"the body is over 64 KiB\n", ()
        body = environ["wsgi.input"].read(length)
        target = environ["PATH_INFO"] + ("?" + environ["QUERY_STRING"] if environ.get("QUERY_STRING") else "")
        try:
            future = self._dispatcher.submit(
                job_class,
                body,
                target=target,
                name=job.name.decode("latin-1"),
                wait=job.wait,
                key=headers.get(b"x-key", b"").decode("latin-1"),
                slots=job.slots,
                memory=job.memory,
                hint=job.hint,
                repeat=job.repeat,
                tenant=job.tenant.decode("latin-1"),
                once=job.once.decode("latin-1"),
            )
            answer = future.result(job.wait + GRACE)
        except TimeoutError:
            future.cancel()
            answer = Answer(AnswerKind.FAILED, reason="its time is over")
        except RuntimeError as error:  # it has been stopped: nothing has run
            answer = Answer(AnswerKind.REFUSED, retry_after=1.0, reason=str(error))
        return http_answer(answer)
