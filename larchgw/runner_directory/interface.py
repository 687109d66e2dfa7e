"""The calls other packages make of this one.

    checkins.parse_checkin(id: str, body: bytes) -> RunnerRecord        or CheckinError (a typed error,
        status 400)
    directory.Directory(registry, clock, beat_s: float, owner: str, alive)     one per control process; pure;
        alive(owner) -> bool tells whether that life of a control process still runs
        .checkin(record) -> CheckinOutcome(news: bool, urgent: bool)     urgent: draining or gone for the
            first time
        .leave(id) -> CheckinOutcome
        .tick(now, isolated)     marks runners silent, forgets old ones; while this process is cut off nobody
            turns silent
        .runners(service=None) -> list[RunnerRecord]                    all that are not gone
        .get(id) -> RunnerRecord | None
        .replicated(id, stage)     a majority knows that stage: saying it again is not urgent
    view.RunnerView(registry)                                           at a dispatcher: records by id and
        by service
        .by_service(name) -> dict[id, RunnerRecord];  .holders(service, model, adapter) -> list[RunnerRecord]
        .get(id);  .on_change(callback(RunnerRecord));  .forget()       the last now and then

A runner counts for the control process that acknowledged it last; when that process is lost, the others
start their own
clocks for its runners. A record is republished only when its content changed.
"""
