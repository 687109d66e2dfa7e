"""The operator's configuration (routes, services, limits), and the settings file of one process.

- `model`: a configuration as frozen dataclasses (`Configuration`, `Route`, `Service`, ...).
- `validation`: JSON to a checked `Configuration`; `records` and `route_reader` read its items.
- `change`: applies an operator's "replace" or "change" to the current version.
- `routing`: finds the route of a request (`RouteTable`).
- `packing`: the compressed form in which a configuration goes between processes.
- `settings`, `settings_check`: the settings of one process, and what is wrong with them.
- `errors`: `ConfigurationError` and its subclasses, each with field, problem and remedy.
"""
