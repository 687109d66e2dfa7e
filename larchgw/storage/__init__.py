"""A log in segments with snapshots beside it. See interface.py for what is promised after which call."""
