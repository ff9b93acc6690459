"""Hints of players and media servers: CMCD (CTA-5004), CMSD (CTA-5006), and what a front makes of them."""
