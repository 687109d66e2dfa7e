"""Replicated registry of versioned entries, of which every process holds a copy.

Modules:
    keys             the kinds of entries
    registry         one process's copy: last writer wins by rank, deltas by version vector
    version_vectors  version vectors as they are sent, and the cursors that travel in them
    pull_service     the answering side of pulls (long polls), at control processes
    puller           the asking side, at dispatchers; `peer_pullers` runs one for each other control process
    source_selector  which control process a puller asks next
    pull_settings    the times of pulls
    resync           anti-entropy: comparison with a complete registry after a long time out of touch
    hinted_handoff   pushes urgent entries to a quorum; `hints` keeps what a peer missed
    placer_entry     the entry that names the placer
    connection       a connection to another process, as this package needs it

Source: DeCandia and others, "Dynamo: Amazon's Highly Available Key-value Store", SOSP 2007, sections 4.4, 4.6
and 4.7 (versioning, hinted handoff, anti-entropy); Parker and others, "Detection of Mutual Inconsistency in
Distributed Systems", IEEE TSE 1983 (version vectors).
"""
