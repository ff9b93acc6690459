"""Rehearsals: a day of arrivals and troubles, played on real sockets by separate processes."""
