"""Exploration of runner check-ins at control processes that are cut off from each other."""
