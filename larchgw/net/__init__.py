"""Sockets: the loop, connections, HTTP, discovery and the transport to HTTP runners."""
