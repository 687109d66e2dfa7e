"""Which runner gets a request: the design's selection, split by concern, pure."""
