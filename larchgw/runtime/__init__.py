"""What both roles of the system share: a process from start to SIGTERM, logs, rpc clients, status pages."""
