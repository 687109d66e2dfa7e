"""Exploration of the placer: orders of one lease holder after the other, on the real code of both sides."""
