"""The driver that runs the decisions for a host; it takes no decisions itself."""
