"""The program on the operators' platform: its messages as another way in and out of the same engine."""
