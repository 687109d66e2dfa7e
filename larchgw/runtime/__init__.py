"""What both roles of the system share: logs, signals, rpc clients, settings that are read again."""
