"""Explores the operator's calls: the control processes' own code in virtual time, on simulated disks."""
