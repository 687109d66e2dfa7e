"""ExhaustiveSearch and random exploration of the protocols over simulated networks and disks."""
