"""The workers that the dispatcher sends jobs to: discovery, connections, answers, load reports."""
