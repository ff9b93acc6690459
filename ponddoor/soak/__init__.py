"""Fault-injection soak: real node processes under overlapping faults, judged by an independent oracle."""
