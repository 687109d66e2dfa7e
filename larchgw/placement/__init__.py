"""Which runner holds which model: demand, wanted placement, and the loop that orders the difference."""
