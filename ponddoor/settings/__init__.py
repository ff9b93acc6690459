"""Settings as S-expressions: read, checked whole, and given to the rest of the program as plain values."""
