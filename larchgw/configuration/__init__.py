"""The operator's configuration (routes, services, limits), and the settings file of one process.

- `model`: a configuration as frozen dataclasses (`Configuration`, `Route`, `Service`, ...).
- `json_decoding`: a request's body to a JSON object.
- `json_values`, `json_reader`: decoded JSON to typed values, with the faults that were found.
- `validation`: a JSON object to a checked `Configuration`, by `route_reader` and `service_reader`.
- `change`: applies an operator's "replace" or "change" to the current version.
- `route_table`: finds the route of a request (`RouteTable`).
- `packing`: the compressed form in which a configuration goes between processes.
- `settings`, `settings_check`: the settings of one process, and what is wrong with them.
- `errors`: `ConfigurationError` and its subclasses, each with field, problem and remedy.
"""
