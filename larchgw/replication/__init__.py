"""Replicated control state: primary and backups, witnesses that vote on failover, and leases."""
