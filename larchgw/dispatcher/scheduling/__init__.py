"""Which worker gets which job and when: pure decisions without any I/O."""
