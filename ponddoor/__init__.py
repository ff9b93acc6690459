"""ponddoor: a session controller for a fleet of media servers."""
