"""Load: an open-loop generator, a bare relay to compare with, and measurements in one run."""
