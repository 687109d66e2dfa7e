"""Explorations: real code of the system in simulated clusters, through faults in virtual time.

Each of `replication`, `check_ins`, `operator_calls` and `placement_lease` has the same modules: `cluster`
(the simulated machines), `invariants`, `runs` (one run for a seed), `mutants` (deliberate mistakes that runs
must catch) and `main` (what `larchgw explore` calls). The same seed plays the same run.
"""
