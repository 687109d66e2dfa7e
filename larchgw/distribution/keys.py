"""Keys of the registry as sent on the wire: `<kind>` or `<kind>/<name>`.

Of two entries with the same key, the one with the higher `(major, minor)` wins; the list says what these
numbers are for each kind of entry. The minor number is 0 unless stated otherwise.

    configuration    The committed configuration, packed (configuration/packing.py). Written by control
                     processes; major: index of its log record.
    runner/<id>      A RunnerRecord (runner_directory/records.py). Written by control processes; major: the
                     runner's `call_count`, or a number above all counts once it is gone; minor: its stage.
    placer           JSON {"address": RPC address} (placer_entry.py). Written by the placer; major: fencing
                     token.
    view             JSON of the latest accepted view (replication/view.py). Written by control processes;
                     major: its epoch.
    expected/<id>    JSON {model or "model/adapter": ms until the runner is expected to hold it; negative
                     while it is being unloaded}. Written by the placer; major: fencing token; minor: serial
                     number.
"""

CONFIGURATION_KEY = "configuration"
RUNNER_PREFIX = "runner/"
PLACER_KEY = "placer"
VIEW_KEY = "view"
EXPECTED_LOADS_PREFIX = "expected/"
