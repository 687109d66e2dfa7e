"""Experiments by name: each runs the program against models and ends with one line of figures."""
