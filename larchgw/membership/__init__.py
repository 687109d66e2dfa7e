"""Group membership: SWIM with indirect probes, suspicion and Lifeguard's local health.

`swim.Swim` implements the protocol of one process without I/O, and `transport.SwimTransport` runs it on a UDP
socket. `member.Member` describes one process, and `settings.SwimSettings` holds periods and limits. Other
packages use only these. `docs/membership.md` describes the protocol.
"""
