"""Agreement among a few instances by Raft (Ongaro, 2014): the core does no I/O and has no clock."""
