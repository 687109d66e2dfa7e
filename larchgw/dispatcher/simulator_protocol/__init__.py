"""Runs the scheduler under the simulator: codec of its protocol, host process, and check of its settings."""
