"""The control role: the operator's API, check-ins, replicated configuration, distribution, placement."""
