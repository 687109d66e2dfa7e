"""The servers of the dispatcher: the platform's HTTP front, Gearman, load balancer checks and operations."""
