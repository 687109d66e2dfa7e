"""Hot restart: the old process of a dispatcher hands its state and open jobs over to the new one."""
