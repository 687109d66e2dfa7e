"""Who is there: SWIM with indirect probes, suspicion and incarnations, with Lifeguard's doubt of oneself."""
