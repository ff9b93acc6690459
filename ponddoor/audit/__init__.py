"""The audit: each side of each socket records what passed; the six rules are checked from those records."""
