"""The calls other packages make of this one; `validation.py`, `change.py` and `routing.py` hold them.

validation.decode(body: bytes) -> dict
    the JSON object, or MalformedConfiguration
validation.parse(raw: dict) -> Configuration
    checked whole, or MalformedConfiguration / InvalidConfiguration
validation.parse_committed(body: bytes, known: Configuration | None) -> Configuration
    for processes that get a checked configuration: routes that `known` holds are not read again
validation.examine(raw: dict) -> (Configuration | None, faults)
    every faulty item, for the command line
change.apply_change(current: dict, change: dict) -> dict
    `add` and `remove` by name, raw to raw; the same errors
change.evaluate(current: Configuration | None, operation: str, built_on: int, body: bytes)
    -> Configuration: the version that an operator's "replace" or "change" asks for; StaleConfiguration
    where built_on is not the current version (0 for none, -1: not given)
change.canonical(raw: dict) -> bytes
    JSON bytes that do not depend on the order of fields
change.digest(operation: str, built_on: int, body: bytes) -> str
    recognises the very same order sent again
routing.RouteTable(configuration).find(host: str, path: str) -> Route | None
    longest path_start of the host; O(path segments)
"""
