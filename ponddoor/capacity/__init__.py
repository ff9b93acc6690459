"""What one machine can measure of the fleet ahead, and what follows from it for the whole of it."""
