"""Versioned entries that every process holds a copy of, brought by pulls with version vectors and by
handoff.
"""
