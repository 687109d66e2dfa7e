"""The calls other packages make of this one.

    member.Member(name, address, role, incarnation)       what is known of one process; state ALIVE,
        SUSPECT, DEAD, LEFT
    swim.Swim(me: Member, settings: SwimSettings, random)  pure: fed datagrams and time
        .join(addresses), .receive(now, sender, datagram) -> list[Datagram], .tick(now) -> list[Datagram],
        .leave(now)
        .members(role=None) -> list[Member] alive or suspect;  .on_change: callback(Member)
        .count(role) -> int                                processes of that role, suspects included
    transport.SwimTransport(swim, host, port)              UDP on the asyncio loop, a tick each 100 ms

Roles are "edge" and "control". A member carries its rpc address (control) in `address_rpc`, and its `zone`.
"""
