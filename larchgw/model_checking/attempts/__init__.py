"""Exploration of the edge's attempts: what may run once runs once, and a refused request never runs."""
