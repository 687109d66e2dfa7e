"""The edge's data plane: routes client requests to runners and relays their responses."""

from __future__ import annotations

import random
import zlib
from collections import Counter
from collections.abc import Callable, Mapping

import structlog

from ..configuration.model import Configuration, Limits, Route
from ..configuration.route_table import RouteTable
from ..configuration.settings import NodeSettings
from ..net.address import parse_address
from ..net.body_memory import MIN_SHARE
from ..net.counters import Counters
from ..net.http_server import Exchange, HttpServer, ServerLimits
from ..net.loop import EventLoop
from ..net.timers import Deadline
from ..routing.interface import Budget, RequestTraits, Selection
from ..rpc.generated.ttypes import ModelDemand
from ..runner_directory.runner_record import RunnerRecord
from . import request_head
from .context import ProxyContext
from .counters import EdgeCounters
from .demand import DemandCounter
from .errors import BadRequestError
from .recent_ids import RecentIds
from .request import ProxiedRequest
from .runner_pool import RunnerPool

RESERVED_FILES = 200  # file descriptors kept for files other than sockets
CLIENT_SHARE = 0.6  # of the file descriptors; the rest is for runners, RPC and readiness
BODY_SHARE = 0.6  # of the memory limit, for the bodies of open requests
UNCONFIGURED_RETRY_S = 0.5
# Limits until the first configuration arrives. Each request is read completely and answered 503 with
# Retry-After: a 4xx would permanently reject a request that the configuration may allow. The memory for
# request bodies is bounded in this state, too.
UNCONFIGURED_LIMITS = Limits(header_bytes=1 << 18, body_bytes=1 << 28, header_ms=10_000.0)
RECENT_IDS = 2048  # attempt ids in which a repetition is noticed
DRAIN_POLL_S = 0.05  # between checks that every response has been written
SLOW_CHUNK_S = 2.0  # for the next chunk of a body, once the time limit for a head has passed
SLOW_BODY_S = 30.0  # for a complete body; allows for the largest bodies on slow links
log = structlog.get_logger()


class Proxy:
    """Serves clients. All times, including those returned by the callbacks, are seconds of `loop.clock`.

    The owner sets these callbacks: `runners(service)` returns the known runners by id; `expected(service,
    model, adapter)` returns by runner when an ordered model load is expected to complete; `dispatchers()`
    returns how many dispatchers share the limits; `on_missing_model(service, model, adapter)` is called when
    a request waits for a model or adapter that no runner holds.
    """

    name = "edge"  # the listener's name in counters

    def __init__(
        self,
        loop: EventLoop,
        settings: NodeSettings,
        selection: Selection,
        budget: Budget,
        rng: random.Random,
    ) -> None:
        """Creates the proxy; call `configure` and `listen` next.

        Args:
            loop: The loop of all connections.
            settings: The settings of this process; its limits are used.
            selection: Chooses runners.
            budget: Bounds retries.
            rng: Randomizes Retry-After.
        """
        self.loop, self._settings = loop, settings
        self.net_counters = Counters()
        self.counters = EdgeCounters(self.net_counters.registry)
        self.runners: Callable[[str], Mapping[str, RunnerRecord]] = lambda service: {}
        self.expected: Callable[[str, str, str], Mapping[str, float]] = lambda service, model, adapter: {}
        self.dispatchers: Callable[[], int] = lambda: 1
        self.on_missing_model: Callable[[str, str, str], None] = lambda service, model, adapter: None
        self._pool = RunnerPool(loop, self.counters, self._max_open)
        self._context = ProxyContext(
            loop,
            rng,
            selection,
            budget,
            self._pool,
            self.counters,
            lambda service: self.runners(service),
            lambda service, model, adapter: self.expected(service, model, adapter),
            lambda: max(self.dispatchers(), 1),
            lambda service, model, adapter: self.on_missing_model(service, model, adapter),
            self._on_request_ended,
        )
        self._configuration: Configuration | None = None
        self._routes: RouteTable | None = None
        self._lowest_rank = 0  # of the configured routes; 0 is the most urgent
        self._open: set[ProxiedRequest] = set()
        self._recent_ids = RecentIds(RECENT_IDS)
        self._demand = DemandCounter()
        self._last_request_number = 0
        self._server: HttpServer | None = None
        self._drained: Callable[[], None] | None = None
        self._drain_timer: Deadline | None = None
        self._change_timer: Deadline | None = None

    # Control

    def configure(self, configuration: Configuration) -> None:
        """Applies the routes, services and limits of a configuration to all later requests."""
        self._routes = RouteTable(configuration)
        self._configuration = configuration
        self._lowest_rank = max((route.rank for route in configuration.routes), default=0)
        if self._server is not None:
            self._server.limits = _server_limits(configuration.limits)
        self._context.waiting.invalidate_all()

    def runners_changed(self) -> None:
        """Schedules new decisions for waiting requests after runners, models or expected loads changed.

        All changes within one iteration of the event loop are applied together.
        """
        if self._change_timer is None:
            self._change_timer = self.loop.deadlines.add(self.loop.clock.now(), self._apply_runners)

    def _apply_runners(self) -> None:
        self._change_timer = None
        if self._configuration is not None:
            runners: dict[str, RunnerRecord] = {}
            for service in self._configuration.services:
                runners.update(self.runners(service.name))
            self._pool.runners_changed(runners)
        self._context.waiting.invalidate_all()

    def listen(self, address: str) -> tuple[str, int]:
        """Listens for clients on a "host:port". Returns the bound address. Raises OSError or ValueError."""
        files = self._settings.limits.open_files - RESERVED_FILES
        limits = _server_limits(self._configuration.limits if self._configuration else UNCONFIGURED_LIMITS)
        self._server = HttpServer(
            self.loop,
            self.net_counters,
            parse_address(address),
            self,
            max_connections=max(int(CLIENT_SHARE * files), 1),
            max_body_memory_bytes=int(BODY_SHARE * self._settings.limits.memory_mb * (1 << 20)),
            bodies_until_answered=True,
            body_share=self._body_share,
            limits=limits,
        )
        return self._server.listener.address

    def stop_accepting(self) -> None:
        """Closes the listener and idle connections; other connections close after their response."""
        if self._server is not None:
            self._server.stopping = True
            self._server.listener.close()
            self._server.close_idle()

    def drain(self, done: Callable[[], None]) -> None:
        """Calls `done` once every response has been written. Call `stop_accepting` first."""
        self._drained = done
        self._check_drained()

    def abandon(self) -> None:
        """Sends every open request its final response now, shortly before the process ends.

        A request that never ran gets 503 with Retry-After. One that may have run gets 502 or, once its
        response has begun, a truncated response.
        """
        for request in list(self._open):
            request.abandon()

    def close(self) -> None:
        """Closes every connection immediately, including those with a request in progress."""
        self.loop.deadlines.cancel(self._drain_timer)
        for request in list(self._open):
            request.client_gone()
        self._pool.close()
        if self._server is not None:
            if self._server.listener.open:
                self._server.listener.close()
            for connection in list(self._server.connections):
                connection.close()
                connection.connection.close()
            for lingering in list(self._server.lingering):
                lingering.close()

    @property
    def open_count(self) -> int:
        """The number of requests without a final response."""
        return len(self._open)

    def demand(self) -> list[ModelDemand]:
        """Returns arrivals by model and adapter since the last call, and what waits and runs now."""
        at_runners = Counter(request.traits.key for request in self._open if request.at_runner)
        return self._demand.collect(self.loop.clock.now(), self._context.awaited_loads(), at_runners)

    # Called by the HTTP server

    def on_exchange(self, exchange: Exchange) -> None:
        """Handles a complete request."""
        if exchange.predates_http_1_1:
            self._reply_locally(exchange, 505, "use HTTP/1.1")
            return
        if self._routes is None:
            self._reply_locally(exchange, 503, "not configured yet", UNCONFIGURED_RETRY_S)
            return
        try:
            name = request_head.attempt_id(exchange.headers)
            request_head.check_single(exchange.fields)
        except BadRequestError as error:
            self._reply_locally(exchange, 400, str(error))
            return
        route = _find_route(self._routes, exchange)
        if route is None:
            self._reply_locally(exchange, 404, "no route")
            return
        self._begin(exchange, route, name)

    def on_client_gone(self, exchange: Exchange) -> None:
        """Handles a client that disconnected before the final response."""
        if isinstance(exchange.handler_data, ProxiedRequest):
            exchange.handler_data.client_gone()

    # Internal

    def _begin(self, exchange: Exchange, route: Route, name: bytes) -> None:
        traits = self._traits(exchange, route, name)
        if self._recent_ids.add(name):
            self.counters.repeated_ids.inc()
            log.info("request.id_repeated", request=name.decode("latin-1"), route=route.name)
        self.counters.requests.labels(route.kind).inc()
        self._context.budget.record_request(traits.arrived_at, traits.service)
        if traits.model:
            self._demand.arrived(traits)
        request = exchange.handler_data = ProxiedRequest(self._context, exchange, traits, name)
        self._open.add(request)
        self.counters.open.set(len(self._open))
        request.decide()

    def _traits(self, exchange: Exchange, route: Route, name: bytes) -> RequestTraits:
        self._last_request_number += 1
        # The deadline counts from the request's first byte: receiving a long body may use much of that time.
        headers, began_at = exchange.headers, exchange.began_at
        service = choose_service(route, name)
        service_config = self._configuration.service(service) if self._configuration is not None else None
        pinned = route.pinned and service_config is not None and service_config.runtime is not None
        model, adapter = request_head.model_of(headers) if pinned else ("", "")
        tokens_in, tokens_out = request_head.tokens_of(headers)
        max_time_left_s = route.deadline_ms / 1000.0
        target_s = (route.target_ms or route.deadline_ms) / 1000.0
        return RequestTraits(
            number=self._last_request_number,
            route=route,
            service=service,
            arrived_at=exchange.received_at,
            deadline_at=began_at + request_head.time_left(headers, max_time_left_s),
            target_at=began_at + target_s,
            model=model,
            adapter=adapter,
            prompt_tokens=tokens_in,
            output_tokens=tokens_out,
            parts=request_head.parts_of(headers),
        )

    def _reply_locally(self, exchange: Exchange, status: int, reason: str, retry_after: float = 0.0) -> None:
        headers = (("Retry-After", f"{retry_after:.3f}"),) if retry_after else ()
        self.counters.answers.labels(str(status), "edge").inc()
        exchange.reply(status, reason.encode() + b"\n", headers)

    def _on_request_ended(self, request: object) -> None:
        assert isinstance(request, ProxiedRequest)
        self._open.discard(request)
        self.counters.open.set(len(self._open))

    def _body_share(self, exchange: Exchange) -> float:
        """Returns the share of the body memory that a request may fill: less for less urgent routes."""
        if self._routes is None or not self._lowest_rank:
            return 1.0
        route = _find_route(self._routes, exchange)
        rank = route.rank if route is not None else 0
        return 1.0 - (1.0 - MIN_SHARE) * rank / self._lowest_rank

    def _max_open(self, service: str) -> int:
        service_config = self._configuration.service(service) if self._configuration is not None else None
        if service_config is None or service_config.max_conns <= 0:
            return 0
        return max(service_config.max_conns // max(self.dispatchers(), 1), 1)

    def _check_drained(self) -> None:
        self._drain_timer = None
        if self._drained is None:
            return
        server = self._server
        if server is not None:
            server.close_idle()
        if self._open or (server is not None and (server.connections or server.lingering)):
            self._drain_timer = self.loop.deadlines.add(
                self.loop.clock.now() + DRAIN_POLL_S, self._check_drained
            )
            return
        done, self._drained = self._drained, None
        done()


def _find_route(routes: RouteTable, exchange: Exchange) -> Route | None:
    host = exchange.headers.get(b"host", b"").decode("latin-1")
    return routes.find(host, exchange.path.decode("latin-1"))


def choose_service(route: Route, attempt_id: bytes) -> str:
    """Returns the service for this attempt id: deterministic, and distributed by the route's weights."""
    shares = [share for share in route.split() if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    point = zlib.crc32(attempt_id) / 2**32 * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service


def _server_limits(limits: Limits) -> ServerLimits:
    head_s, idle_s = limits.header_ms / 1000.0, limits.idle_ms / 1000.0
    return ServerLimits(
        head_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        first_byte_timeout_s=idle_s,
        request_timeout_s=head_s,
        chunk_timeout_s=max(SLOW_CHUNK_S, head_s),
        max_request_s=max(SLOW_BODY_S, head_s),
        idle_timeout_s=idle_s,
    )
