"""Faults of the links between processes under test: blocked, delayed, lossy and reset links."""
