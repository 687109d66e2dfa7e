"""Where requests come in: the platform's HTTP, Gearman; and what balancers ask of us."""
