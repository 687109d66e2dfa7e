"""The directory of runners, built from their check-ins.

Modules:
    check_in_parser  parses the JSON body of a check-in into a RunnerRecord
    runner_record    record of a runner, its lifecycle stages, and its encoding in the registry
    directory        for control processes: registry entries from check-ins, silence time-out, tombstones
    runner_view      for dispatchers: index of runners by id and by service

A runner is owned by the control process that last acknowledged one of its check-ins. When that process is
lost, the others restart the silence time-out of its runners. A record is published again only when its
content changes.
"""
