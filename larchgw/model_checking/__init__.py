"""Explorations: production code runs in simulated clusters, with injected faults, in virtual time.

Each of `replication`, `check_ins`, `operator_calls` and `placement_lease` has the same modules: `cluster`
(the simulated machines), `invariants`, `runs` (one run for a seed), `mutants` (deliberate mistakes that runs
must catch) and `main` (what `larchgw explore` calls). A run is determined by its seed.
"""
