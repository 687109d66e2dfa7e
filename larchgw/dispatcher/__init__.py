"""The job dispatcher in service: pushes jobs to workers (`larchgw serve`)."""
