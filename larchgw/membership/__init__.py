"""Which processes there are: SWIM with indirect probes, suspicion and Lifeguard's local health.

`swim.Swim` is the protocol of one process, fed datagrams and time; `transport.SwimTransport` runs it on a UDP
socket. `member.Member` is what is known of one process, `settings.SwimSettings` the periods and limits. Other
packages use these and no others. `docs/membership.md` describes the protocol.
"""
