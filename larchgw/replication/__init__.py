"""Replicated control state: a primary and backups, witnesses that decide failover, leases."""
