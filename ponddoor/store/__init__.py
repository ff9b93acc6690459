"""Crash-safe storage: a journal of checksummed records with snapshots, on files that may be simulated."""
