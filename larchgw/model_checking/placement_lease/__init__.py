"""Exploration of placement across changes of the lease holder, with production code on both sides."""
