"""A dispatcher embedded in a WSGI program (for example Flask), on its own thread.

    dispatcher = EmbeddedDispatcher(json.load(open("dispatcher.json")))
    dispatcher.start()
    app.wsgi_app = DispatchMiddleware(app.wsgi_app, dispatcher, {"/jobs/proof": "proof"})

`POST` requests to the given paths become jobs, with the headers of the platform's protocol. All other
paths go to the wrapped application. `EmbeddedDispatcher.submit` submits a job from any thread without HTTP.
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
from .dispatcher.fronts.jobheaders import IDEMPOTENCY_KEY, http_answer, key_number, read_job
from .net.http_server import MAX_BODY_BYTES

GRACE_S = 0.5  # beyond a job's deadline, to pass its answer between threads
DRAIN_POLL_S = 0.05  # between two checks whether all jobs have been answered
REFUSED_RETRY_AFTER_S = 1.0
StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class EmbeddedDispatcher:
    """The daemon's dispatcher on its own thread.

    `start`, `stop` and `submit` may be called from any thread. `answer` and `news` are called by the
    dispatcher on its thread, because this object is the front of its jobs.
    """

    name = "wsgi"

    def __init__(self, config: Mapping[str, Any]) -> None:
        """Reads the configuration and starts nothing yet.

        Args:
            config: The content of a PROXY_CONFIG file; `listen` is not needed.
        """
        self._node = Node(read(dict(config), need_listen=False))
        self._classes = {c.name: index for index, c in enumerate(self._node.config.settings.classes)}
        self._thread = threading.Thread(target=self._run, name="larchgw", daemon=True)
        self._running = False
        self._lock = threading.Lock()  # a job submitted before `stop` must also reach the loop before it

    def start(self) -> None:
        """Begins to follow discovery and to accept jobs."""
        self._running = True
        self._thread.start()

    def stop(self, timeout: float = 30.0) -> None:
        """Stops accepting jobs, waits until open jobs have been answered, and ends the thread.

        Args:
            timeout: Seconds to wait for the thread.
        """
        with self._lock:
            was_running, self._running = self._running, False
            if was_running:
                self._node.loop.call_soon(self._stop_when_done)
        if was_running:
            self._thread.join(timeout)

    def figures(self) -> dict[str, float]:
        """Returns the counters that are not 0."""
        return self._node.core.counters.nonzero_values()

    def deadline(self, job_class: str) -> float:
        """Returns the deadline of a job class in seconds.

        Raises:
            KeyError: There is no such class.
        """
        return self._node.config.settings.classes[self._classes[job_class]].deadline

    def keyed(self, job_class: str) -> bool:
        """Returns whether workers detect repeated jobs of this class by their key.

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
            body: The request body for the worker.
            target: The request target at the worker; by default "/" and the class.
            name: The job's name; random by default.
            wait: Seconds that its client waits; by default the deadline of its class.
            key: The affinity key, in the format of X-Key; empty for none.
            slots: Slots that it takes at a worker.
            memory: Memory that it takes at a worker, in the unit of the workers' capacity.
            hint: The client's estimate of the work in seconds; 0 if unknown.
            repeat: Whether the client has sent it before.
            tenant: The tenant whose quota it counts against.
            once: The key by which workers detect a repeat of a deduplicated job; by default the job's name.

        Returns:
            A future with the final answer. Cancelling the future cancels the job.

        Raises:
            KeyError: There is no such class.
            RuntimeError: The dispatcher is not running.
            ValueError: The body is too large, or `once` is not valid in a header.
        """
        class_index = self._classes[job_class]
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("a body holds 64 KiB at most")
        if once and not IDEMPOTENCY_KEY.fullmatch(once.encode()):
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
            # A job that is cancelled before the loop handles it is never sent.
            self._node.loop.call_soon(lambda: None if future.cancelled() else self._node.core.submit(request))
        return future

    # Called by the core on the dispatcher's thread

    def answer(self, request: Request, answer: Answer) -> None:
        """Sets the final answer of a job as the result of its future."""
        future: Future[Answer] = request.extra
        if future.set_running_or_notify_cancel():
            future.set_result(answer)

    def news(self, request: Request, kind: JobMessage, data: bytes) -> None:
        """Ignores progress, as a future carries only the final answer."""

    def _cancel(self, request: Request) -> None:
        # Id 0 means that the core has not accepted the request yet.
        self._node.loop.call_soon(lambda: self._node.core.client_gone(request) if request.id else None)

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
    """WSGI middleware that turns requests to certain paths into jobs and passes on all others.

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
        except RuntimeError as error:  # the dispatcher has been stopped, so nothing has run
            answer = Answer(AnswerKind.REFUSED, retry_after=REFUSED_RETRY_AFTER_S, reason=str(error))
        return http_answer(answer)
