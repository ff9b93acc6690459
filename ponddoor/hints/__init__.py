"""Hints of players (CMCD, CTA-5004) and of media servers (CMSD, CTA-5006): codecs, checks and trust."""
