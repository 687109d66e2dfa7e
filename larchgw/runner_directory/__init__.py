"""What is known of runners: their check-ins, states and incarnations."""
