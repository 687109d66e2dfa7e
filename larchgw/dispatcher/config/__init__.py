"""Configuration of `larchgw serve`: the platform's JSON configuration and the TOML files under `deploy/`.

The operator's configuration of the system, and the settings of its processes, are in `larchgw.configuration`.
"""
