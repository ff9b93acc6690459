"""What the fronts share: who is there, counts, evidence on servers, and parts of budgets. Free of I/O."""
