"""Placement: decides which runner holds which model, and orders runners to load and unload models.

The control process that holds the placement lease runs this loop (`service`); there is at most one:

1. Demand. Dispatchers report request rates, waiting requests and requests in flight (`demand_tracker`). The
   popularity of models and the value of a replica are computed from these reports (`popularity_change`,
   `holder_value`, `service_demand`).
2. Target. `load_candidates` lists the desired loads, the most urgent first.
3. Next order. For each candidate the planner selects the runner with the lowest cost, including evictions
   (`planner`, `runner_selection`, `evictions`), within the weight store's rate (`load_rate_limit`,
   `load_budget`). A runner gets one order at a time (sent by `orders`), so a load with evictions takes
   several rounds.
4. Outcome. Responses and reports update the current state (`reconciler`, `order_tracker`, `runner_state`).
   Expected completion times of loads are published to dispatchers (`load_completions`,
   `completion_publisher`).

No state is persisted. After a change of the lease, the new holder reads each runner's report before its first
order to that runner (`lease_watch`, `runner_exchange`). All modules but these two, `orders`, `service` and
`service_runtime` have no side effects: time and random numbers are passed by the caller.

Invariants, beyond those that `Reconciler.validate_state` checks:

- In no window does the weight store get more loads than its rate allows, regardless of message delays.
- A runner is never ordered to hold more weights or adapters than fit, assuming the worst case.
- No order is sent that may arrive after the lease has ended.

Other packages use `service.PlacementService`, which is created from a `service_runtime.PlacementRuntime`, and
`orders.OrderClient`.
"""
