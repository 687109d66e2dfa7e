"""The calls other packages make of this one.

    member.Member(name, address, role, incarnation, zone="", address_rpc="")
        what is known of one life of a process: `state` ALIVE, SUSPECT, DEAD, LEFT; `present` for the first
        two. `address` is that of its membership socket, `incarnation` the time of day at its start in ms.
    swim.Swim(me: Member, settings: SwimSettings, random)  pure: fed datagrams and time; InvalidMemberError
        .join(addresses)                                   seeds, as membership addresses; again on a change
        .receive(now, sender, datagram) -> list[Datagram], .tick(now) -> list[Datagram]
        .leave(now) -> list[Datagram]
        .members(role=None) -> list[Member]                alive or suspect, this process among them
        .count(role) -> int                                processes of that role, counted likewise
        .dead(role=None) -> list[Member]                   ended without leaving; remembered for some minutes
        .on_change: callback(Member)                       a state changed, or an address has a new life
    transport.SwimTransport(swim, host, port)              UDP on the asyncio loop, a tick each 100 ms
        await .start() (OSError), .leave() at a planned end, .close()

Roles are "edge" and "control". A member carries its rpc address (control) in `address_rpc`, and its `zone`.
"""
