"""The bench's adapter: its wire on standard input and output, one isolated front for each instance."""
