"""Pure state machines: fed messages and time, giving messages to send and facts to act on.

No socket, no file, no clock. Times are seconds on a monotonic clock that counts time spent frozen.

    witness.Witness           durable: highest epoch promised, last view accepted
    lease_witness.LeaseAcceptor    durable: the highest epoch of each lease
    replica.Replica           durable through a `Journal` port: the log of records
    view_changes.ViewChanges  votes, own ballots, the primary's role won and lost
    lease.LeaseHolder         elects and renews the holder of a singleton role over the witnesses
    member.Member             one process: all of these behind one interface:
        .start(now) -> Effects
        .receive(now, message: PeerMessage) -> Effects
        .tick(now) -> Effects                       at least every 20 ms
        .propose(now, record: bytes) -> (PendingCall, Effects)
            only at the primary, else NotPrimaryError; OSError where the disk refuses
        .confirm(now) -> (PendingCall, Effects)
            for reads: done once the view is proven to stand after this call; NotPrimaryError
        .step_down(now) -> Effects                  hands the roles over, also when the disk does not serve
        .leave(now) -> Effects                      before a planned end: roles handed over, and no
            acknowledgement shall need this member's copy any more
        .has_left                                   whether that is so
        .is_primary, .primary, .view, .committed_index, .disk_error
        .lease(now, name) -> Lease | None           held now: `fence`, `until`; asks for it if it is not held
        .set_contacts(addresses)                    rpc addresses of other members, known from membership
    Effects: messages to send, each with its address; tickets done (index) or failed (reason; whether it may
    have been taken); records committed (index, bytes) in order; snapshot installed; role changed. Anything
    that must be durable is written through the ports before the Effects that rely on it are returned.

Rules (docs/design-system.md has the argument):
  - A record is acknowledged once it is durable at the primary and at every backup of the view, survive + 1
    copies at least.
  - A view is formed by a majority of the witnesses of the view before it and of its own, and its primary is
    from the in-sync set (primary and backups) of the last accepted view.
  - An empty disk that is not a first boot is a new identity: no vote, no data, until a view has added it.
  - A lease's fence is an epoch that a majority of witnesses has stored. A holder other than the last one
    waits out a whole lease term before it acts. Time spent frozen counts.
"""
