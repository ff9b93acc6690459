"""Seats: limits how many viewers of an entitlement may play at once, over all fronts together."""
