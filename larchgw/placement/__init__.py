"""Placement: which runner holds which model, and the loop that orders what is missing.

One control process at a time, the holder of the placer's lease, runs the loop (`service`):

1. Demand. Dispatchers report what is asked for, what waits and what runs (`demand_tracker`); the popularity
   of models and the value of a holder follow from it (`popularity_change`, `holder_value`, `service_demand`).
2. Target. `load_candidates` lists the loads that are wanted, most pressing first.
3. Next order. The planner finds for each candidate the runner where it costs least, with what that runner
   gives up (`planner`, `runner_selection`, `evictions`), within the weight store's rate (`load_rate_limit`,
   `load_budget`). A runner gets one order at a time (`orders` sends it): a load with evictions takes several
   rounds.
4. Outcome. Answers and reports move the current state on (`reconciler`, `order_tracker`, `runner_state`);
   when what is being loaded can be used is published for dispatchers (`load_completions`,
   `completion_publisher`).

Nothing is stored: after a change of the lease, the new holder reads every runner's report before its first
order there (`lease_watch`, `runner_exchange`). All modules but these two, `orders`, `service` and
`service_runtime` are pure: time and random draws come from the caller.

Invariants, beyond those that `Reconciler.validate_state` checks:

- In no window does the weight store see more loads than its rate allows, whatever the delays of messages.
- A runner is never ordered to hold more weights or adapters than fit, counted for the worst case.
- No order is sent that may arrive after the lease has ended.

Other packages call `service.PlacementService`, made of a
`service_runtime.PlacementRuntime`, and `orders.OrderClient`.
"""
