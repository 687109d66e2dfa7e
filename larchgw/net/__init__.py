"""Sockets shared by the edge and the job dispatcher: event loops, timers, connections and an HTTP server."""
