"""The calls other packages make of this one. All but `orders.py` are pure.

    demand.Demand(clock)                      demand by (service, model, adapter): rates that decay, who
        waits and how
        .report(DemandReport)                 urgently; .rate(key), .waiting(key)
    planner.Planner(settings, random)
        .plan(now, configuration, runners, demand, state) -> list[Order]    next orders, most worth first,
            at most one per
                                              runner, within weights_mb, adapter_slots and the load ceiling
    ceiling.LoadCeiling(loads_per_s, window_s, cap)   how many loads from the store may begin now
    reconciler.Reconciler                     level-triggered: observed runners and orders under way in,
        next orders out;
                                              backoff by runner, what was ordered and not yet seen counts as
                                              held
    orders.OrderClient                        POST /order and GET /report at runners (pycurl through Tornado)

    Order(runner, address, action "loading"|"unloading", model, adapter, if_revision)
"""
