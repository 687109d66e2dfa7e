"""Exploration of the replication protocol: every interleaving of a small cluster, and random walks."""
