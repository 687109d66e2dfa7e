"""The replication package: pure state machines, fed messages and time, that return messages and facts.

No socket, no file, no clock. Times are seconds on a monotonic clock that counts time spent frozen.

    member.Member             one process; the interface of the package (see its docstring)
    member_parts              how a member is put together
    message_router            which part handles which message
    witness.Witness           durable: highest epoch promised, last view accepted
    view_voter.ViewVoter      this member's votes on views
    view_changes.ViewChanges  its own attempts to form a view
    candidate.Candidate       pre-votes, and one view_change_round.ViewChangeRound at a time
    planning                  which view comes next
    primary_role.PrimaryRole  whether it is primary
    leadership.Leadership     what an acting primary does
    log_sender.LogSender      records and snapshots to the other members
    follower.Follower         what a member does for a primary
    replica.Replica           durable through a `ports.Journal`: the log of records
    lease_acceptor            durable: the highest fencing token of each lease
    lease_actions             acts announced under a lease
    lease.LeaseHolder         acquires and renews the lease of a singleton role over the witnesses
    effects.Effects           what the caller has to do after each call

Anything that must be durable is written through the ports before the Effects that rely on it are returned.

Rules (docs/design-system.md has the argument):

- A record is acknowledged once it is durable at the primary and at every backup of the view, and at
  `tolerated_failures` + 1 members at least.
- A view is formed by a majority of the witnesses of the view before it and of its own, and its primary is
  from the in-sync set (primary and backups) of the last accepted view.
- An empty disk that is not a first boot is a new identity: no vote, no data, until a view has added it.
- A lease's fencing token is a number that a majority of witnesses has stored. A holder announces each act to
  a majority first; its successor keeps a term from the last act on the same target. Time spent frozen counts.
"""
