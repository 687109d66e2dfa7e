"""Registry of versioned entries, replicated to every process.

Modules:
    keys             the kinds of entries
    registry         one process's replica: last writer wins by rank, deltas by version vector
    version_vectors  version vectors as sent in messages, and the cursors sent along with them
    pull_service     server side of pulls (long polls), in control processes
    puller           client side of pulls, in dispatchers; `peer_pullers` runs one per other control process
    source_selector  chooses the control process that a puller calls next
    pull_settings    timing of pulls
    resync           anti-entropy: comparison with a complete registry after a long disconnection
    hinted_handoff   pushes urgent entries to a quorum; `hints` stores the entries that a peer missed
    placer_entry     the entry that names the placer
    connection       the interface of a connection to another process

Source: DeCandia and others, "Dynamo: Amazon's Highly Available Key-value Store", SOSP 2007, sections 4.4, 4.6
and 4.7 (versioning, hinted handoff, anti-entropy); Parker and others, "Detection of Mutual Inconsistency in
Distributed Systems", IEEE TSE 1983 (version vectors).
"""
