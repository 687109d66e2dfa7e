"""The interface of the data plane to the rest of the edge role.

    proxy.Proxy(loop: EventLoop, settings: NodeSettings, selection: Selection, budget: Budget, rng: Random)
        .runners, .expected, .dispatchers, .on_missing_model   callbacks, set before `listen`; see the class
        .configure(Configuration)        applies to all later requests
        .runners_changed()               runners, their models or expected loads changed
        .listen("host:port") -> address  listens for clients
        .demand() -> list[ModelDemand]   demand since the last call
        .open_count                      requests without a final response
        .stop_accepting()                accepts no more connections, closes idle ones
        .drain(done)                     calls `done()` once all responses have been written
        .abandon()                       sends final responses now, before a forced exit
        .close()                         closes all connections
        .counters, .net_counters         Prometheus metrics, in `net_counters.registry`

All times are seconds of `loop.clock`, including those returned by `expected` and those passed to the
selection. Nothing here is thread-safe.
"""
