"""The configuration that all fronts share: versions, transactions with preconditions, history."""
