"""An upgrade: two processes that serve as one dispatcher, and what the old one hands to the new one."""
