"""Seats: how many viewers of an entitlement may play at once, counted over all fronts and never exceeded."""
