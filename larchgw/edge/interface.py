"""The calls that the wiring of the role makes of the data plane.

    proxy.Proxy(loop: EventLoop, settings: NodeSettings, selection: Selection, budget: Budget, rng: Random)
        .runners, .expected, .dispatchers, .on_missing_model   callbacks, set before `listen`; see the class
        .configure(Configuration)        in force for requests that come from then on
        .runners_changed()               runners, what they hold, or what is expected there changed
        .listen("host:port") -> address  takes clients
        .demand() -> list[ModelDemand]   since the last call
        .open_count                      requests without a final answer
        .stop_accepting()                no more connections; resting ones are closed
        .drain(done)                     `done()` once all is answered and written
        .abandon()                       open requests get their final answers now; before a forced end
        .close()                         whatever is open is closed
        .counters, .net_counters         Prometheus metrics, in `net_counters.registry`

All times are seconds of `loop.clock`, also those that `expected` gives and that the selection is asked with.
Nothing here may be called from another thread.
"""
