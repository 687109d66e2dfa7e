"""What is known of runners, from their check-ins.

Modules:
    check_in_parser  a check-in's JSON body, read into a RunnerRecord
    runner_record    a runner as its check-ins describe it, its stages, and its form in the registry
    directory        a control process's part: from check-ins to registry entries, silence, tombstones
    runner_view      a dispatcher's index of runners by id and by service

A runner counts for the control process that acknowledged it last; when that process is lost, the others start
the silence time-out of its runners anew. A record is published again only when its content has changed.
"""
