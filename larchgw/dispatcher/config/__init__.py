"""What `larchgw serve` is told at its start: the platform's configuration, and our own TOML files.

The operator's configuration of the system, and the settings of its processes, are in `larchgw.configuration`.
"""
