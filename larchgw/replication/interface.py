"""Overview of the replication package: state machines that take messages and the time, and return effects.

The package opens no socket and no file, and reads no clock. Times are seconds on a monotonic clock that also
counts the time for which the machine is suspended.

    member.Member             one process; the entry point of the package (see its docstring)
    member_parts              the components of a member and how they are assembled
    message_router            dispatches each message to the component that handles it
    witness.Witness           durable: the highest promised epoch and the last accepted view
    view_voter.ViewVoter      this member's votes on views
    view_changes.ViewChanges  this member's own attempts to form a view
    candidate.Candidate       pre-votes, and one view_change_round.ViewChangeRound at a time
    planning                  computes the next view
    primary_role.PrimaryRole  whether this member is primary
    leadership.Leadership     what an acting primary does
    log_sender.LogSender      sends records and snapshots to the other members
    follower.Follower         what a member does for a primary
    replica.Replica           the log of records, durable through a `ports.Journal`
    lease_acceptor            durable: the highest fencing token of each lease
    lease_actions             actions announced under a lease
    lease.LeaseHolder         acquires and renews the lease of a singleton role from the witnesses
    effects.Effects           what the caller has to do after each call

Durable state is written through the ports before the Effects that rely on it are returned.

Rules (docs/design-system.md has the argument):

- A record is acknowledged once it is durable at the primary and at every backup of the view, and at
  `tolerated_failures` + 1 members at least.
- A view is formed by a majority of the witnesses of the previous view and a majority of its own witnesses.
  Its primary is from the in-sync set (primary and backups) of the last accepted view.
- A member with an empty disk that is not at the first boot gets a new identity. It has no vote and no data
  until a view has added it.
- A lease's fencing token is a number that a majority of witnesses has stored. A holder announces each action
  to a majority before it starts it. The next holder waits a term after the last action on the same target.
  The time for which a process is suspended counts.
"""
