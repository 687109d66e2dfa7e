"""Control state on a primary and its backups; witnesses store epochs and decide failover; leases for
singleton roles.
"""
