"""Which runner a request goes to, when it is retried, and when it is rejected: pure decisions, no I/O."""
