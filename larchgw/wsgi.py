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
from .dispatcher.core.requests import JobMessage
from .dispatcher.fronts.jobheaders import ONCE, http_answer, key_number, read_job
from .net.http_server import MAX_BODY_BYTES

GRACE_S = 0.5  # beyond a job's time, for its answer to cross threads
DRAIN_POLL_S = 0.05  # between two looks whether all jobs are answered
REFUSED_RETRY_AFTER_S = 1.0
StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class EmbeddedDispatcher:
    """The daemon's dispatcher, run on a thread of its own.

    `start`, `stop` and `submit` may be called from any thread; `answer` and `news` are called by the
    dispatcher on its thread, where this object stands as the front of its jobs.
    """

    name = "wsgi"

    def __init__(self, config: Mapping[str, Any]) -> None:
        """Reads the configuration and starts nothing yet.

        Args:
            config: Of the form of PROXY_CONFIG's file, without `listen`.
        """
        self._node = Node(read(dict(config), need_listen=False))
        self._classes = {c.name: index for index, c in enumerate(self._node.config.settings.classes)}
        self._thread = threading.Thread(target=self._run, name="larchgw", daemon=True)
        self._running = False
        self._lock = threading.Lock()  # a job submitted before the stop reaches the loop before it, too

    def start(self) -> None:
        """Begins to follow discovery and to accept jobs."""
        self._running = True
        self._thread.start()

    def stop(self, timeout: float = 30.0) -> None:
        """Accepts no more jobs, answers what is open, and ends the thread.

        Args:
            timeout: Seconds to wait for the thread.
        """
        with self._lock:
            was_running, self._running = self._running, False
            if was_running:
                self._node.loop.call(self._stop_when_done)
        if was_running:
            self._thread.join(timeout)

    def figures(self) -> dict[str, float]:
        """The counters that are not 0."""
        return self._node.core.counters.figures()

    def deadline(self, job_class: str) -> float:
        """How long a client of this class waits, in seconds.

        Raises:
            KeyError: There is no such class.
        """
        return self._node.config.settings.classes[self._classes[job_class]].deadline

    def keyed(self, job_class: str) -> bool:
        """Whether workers drop repeats of this class by key.

        Raises:
            KeyError: There is no such class.
        """
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
        """Submits a job.

        Args:
            job_class: The name of its class.
            body: What workers get.
            target: The request target at workers; "/" and the class where left out.
            name: The job's name; drawn where left out.
            wait: Seconds that its client waits; its class's deadline where left out.
            key: The affinity key, as X-Key has it; none where empty.
            slots: Slots that it takes at a worker.
            memory: Memory that it takes at a worker, in the unit of the workers' capacity.
            hint: Seconds of work by its client's estimate; 0 if unknown.
            repeat: Whether its client has sent it before.
            tenant: Whose quota it counts against.
            once: The key by which workers know a repeat of a deduplicated job; its name where left out.

        Returns:
            A future of its one final answer. Cancelling it gives the job up.

        Raises:
            KeyError: There is no such class.
            RuntimeError: The dispatcher does not run.
            ValueError: The body is too large, or `once` cannot be carried by a header.
        """
        class_index = self._classes[job_class]
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("a body holds 64 KiB at most")
        if once and not ONCE.fullmatch(once.encode()):
            raise ValueError("once: must be 1 to 256 printable characters of ASCII")
        future: Future[Answer] = Future()
        name, target = name or secrets.token_hex(8), target or "/" + job_class
        request = Request(
            self,
            name.encode("latin-1"),
            class_index,
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
        future.add_done_callback(lambda done: self._cancel(request) if done.cancelled() else None)
        with self._lock:
            if not self._running:
                raise RuntimeError("the dispatcher is not running")
            # One that is cancelled before the loop comes to it is never sent.
            self._node.loop.call(lambda: None if future.cancelled() else self._node.core.submit(request))
        return future

    # As a front of the core, on the dispatcher's thread

    def answer(self, request: Request, answer: Answer) -> None:
        """Gives the job's final answer to its future."""
        future: Future[Answer] = request.extra
        if future.set_running_or_notify_cancel():
            future.set_result(answer)

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """Ignores progress: a future has the final answer only."""

    def _cancel(self, request: Request) -> None:
        # An id of 0: the core has not taken the request yet.
        self._node.loop.call(lambda: self._node.core.client_gone(request) if request.id else None)

    def _run(self) -> None:
        self._node.start()
        self._node.loop.run()
        self._node.close()

    def _stop_when_done(self) -> None:
        loop = self._node.loop
        if self._node.core.open_requests():
            loop.deadlines.add(loop.clock.now() + DRAIN_POLL_S, self._stop_when_done)
        else:
            loop.stop()


class DispatchMiddleware:
    """WSGI middleware: requests to some paths become jobs; all others go to the application.

    Source: PEP 3333.
    """

    def __init__(self, app: WsgiApp, dispatcher: EmbeddedDispatcher, paths: Mapping[str, str]) -> None:
        """Wraps `app`; `paths` maps a path to the job class of its requests.

        Raises:
            KeyError: There is no such class.
        """
        for job_class in paths.values():
            dispatcher.deadline(job_class)
        self._app, self._dispatcher, self._paths = app, dispatcher, dict(paths)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handles a request (PEP 3333)."""
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
            variable[5:].replace("_", "-").lower().encode(): str(value).encode("latin-1")
            for variable, value in environ.items()
            if variable.startswith("HTTP_")
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
            answer = future.result(job.wait + GRACE_S)
        except TimeoutError:
            future.cancel()
            answer = Answer(AnswerKind.FAILED, reason="its time is over")
        except RuntimeError as error:  # it has been stopped: nothing has run
            answer = Answer(AnswerKind.REFUSED, retry_after=REFUSED_RETRY_AFTER_S, reason=str(error))
        return http_answer(answer)
