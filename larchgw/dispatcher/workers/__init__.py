"""Communication with workers: discovery, connections, responses and load reports."""
