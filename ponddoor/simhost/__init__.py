"""The simulator's adapter: binary frames on standard input and output, a separate front for each instance."""
