"""The obligations of a front towards its viewers: answers, releases, leases and the drain. Does no I/O."""
