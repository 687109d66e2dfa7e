"""The edge role: accepts client requests, selects a runner for each, and forwards the response."""
