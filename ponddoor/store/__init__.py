"""Storage that survives crashes: a journal of checksummed records, and snapshots, over an interface to
files."""
