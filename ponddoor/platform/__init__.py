"""What the operators' platform says in the same words to the bench's adapter and to the node."""
