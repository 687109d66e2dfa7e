"""Exploration of the replication protocol: exhaustive search of a small cluster, random walks and faults."""
