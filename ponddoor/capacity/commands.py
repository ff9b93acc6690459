"""`ponddoor capacity`: what one machine measures of the fleet ahead, and what follows from it.

Exit codes as everywhere: 0 done; 1 page and records differ; 2 input that can't be used."""

import click


@click.group()
def capacity() -> None:
    """Measure, fit and project what the fleet ahead needs, against the limits of its target."""
