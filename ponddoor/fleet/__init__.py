"""What fronts share: membership, demand counts, evidence on servers and budget shares. Free of I/O."""
