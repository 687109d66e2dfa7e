"""The edge role: takes clients' requests, picks a runner for each, passes the answer on."""
