"""The mechanical driver between a host and the decisions."""
