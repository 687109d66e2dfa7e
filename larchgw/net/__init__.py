"""Networking shared by the edge and the job dispatcher: event loops, timers, connections, an HTTP server."""
