"""The whole system on loopback: its real processes, emulated runners, clients and operator, and a judge."""
