"""Small stand-ins for what surrounds a front: a media server, the server list, and players."""
