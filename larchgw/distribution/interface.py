"""Names and types of the registry that other packages rely on.

Keys are "<kind>/<name>". The kinds in use and who writes them:

    configuration       the committed configuration (as configuration/packing.py packs it); major = index
                        of its log record
    runner/<id>         a RunnerRecord (larchgw/runner_directory/records.py); major = call_count (above
                        all counts once it is gone), minor = its stage
    placer              JSON {"address": rpc address}; major = fence (placer.py)
    view                JSON of the newest accepted view (replication/view.py); major = its epoch
    expected/<id>       what the placer has ordered at a runner (JSON); major = fence, minor = serial

    registry.Registry(origin: str)
        .put(key, value: bytes, major, minor=0) -> bool
            accepted here; False if an entry as new or newer stands
        .merge(entries: list[Entry]) -> list[Entry]     from another process; the ones that were news
        .advance(upto: dict[str, int])      after merge of a PullReply that was whole (not `more`)
        .vector() -> dict[str, int]
        .delta(have, prefixes, limit_bytes) -> PullReply
            what a process at `have` lacks; `upto` holds a cursor beside the vector (vectors.py), which the
            caller sends back in `have` to the same process
        .beyond(vector, prefix) -> iterator of Entry    what a process at `vector` does not claim to hold
        .get(key) -> Entry | None;  .items(prefix) -> iterator of Entry
        .watch(prefix, callback(Entry))     called for each entry that is news, local or merged
        .remove_older(prefix, predicate)    forgets tombstones
    pulls.PullService(registry, isolated, control)
        at a control process: the rpc methods pull and push
    puller.Puller(registry, connect, addresses, PullSettings.of(time_limits), random, ...).run()
        at a dispatcher; .last_heard, .source
    peers.PeerPullers(registry, connect, peers, settings, random).run()     at a control process
        .proven_at(address)     begin of the last pull from there that was answered in full
    handoff.Handoff(connect, peers).replicate(entries, timeout, enough) -> set of peers that have them
        .run()      hands over what peers missed
    vectors.new_origin(node_name, random) -> str        a name for this life of the process
"""

CONFIGURATION = "configuration"
RUNNER = "runner/"
PLACER = "placer"
VIEW = "view"
EXPECTED = "expected/"
