"""The calls other packages make of this one; the control role needs only the first.

    service.PlacementService(service.PlacementRuntime(clock, lease, calls, publish, settings))
        .configure(Configuration), .update_runner(RunnerRecord), .demand(DemandReport)     news, at any time
        .summary() -> PlacementSummary | None     for people to look at (summary.py); None: others place
        .run()                                    the loop; orders only while `lease()` gives a Lease
        `publish(runner_id, {"model" or "model/adapter": ms})` is called with what expected/<runner_id>
        should say:
        ms until it can be used there (0: now), service.GONE while it is being unloaded; {} withdraws
    orders.OrderClient(owner)                     POST /order and GET /report at runners (pycurl through
        Tornado)

Inside, all pure but `orders` and `service`:

    demand.Demand(clock)                          decayed rates by (service, model, adapter), who waits and
        how urgently
    ceiling.LoadCeiling(loads_per_s, window_s, cap)    how many loads from the store may begin now
    state.RunnerState, state.PlacementState       what each runner holds and is ordered to, in the worst case
    needs.ServiceDemand                           which loads are wanted, and what evictions would lose
    valuation                                     worth of a holder or replica over a horizon
    planner.Planner(settings, rng).plan(now, configuration, terms, demand, state) -> list[Order]
        at most one per runner, within weights_mb, adapter_slots and the ceiling
    reconciler.Reconciler(settings, ceiling)      reports and outcomes in; polls, states and expectations out
"""
