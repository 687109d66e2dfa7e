"""Request routing: selects a runner, permits retries and rejects requests. Decisions only, no I/O."""
