"""A log in segments with snapshots beside it, and small values replaced atomically.

What is promised after which call stands in docs/storage.md.
"""
