"""What the simulator adapter and the node share of the platform's interface."""
