"""The operators' configuration (routes, services, limits), and the settings file of one process.

- `model`: a configuration as frozen dataclasses (`Configuration`, `Route`, `Service`, ...).
- `json_decoding`: decodes a request body into a JSON object.
- `json_values`, `json_reader`: convert decoded JSON to typed values and collect the errors found.
- `validation`: builds a validated `Configuration` from JSON, with `route_reader` and `service_reader`.
- `change`: applies an operator's "replace" or "change" request to the current version.
- `route_table`: finds the route that matches a request (`RouteTable`).
- `packing`: the compressed form in which processes exchange a configuration.
- `settings`, `settings_check`: the settings of one process, and their validation.
- `errors`: `ConfigurationError` and its subclasses, each with field, problem and remedy.
"""
