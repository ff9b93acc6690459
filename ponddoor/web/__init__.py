"""HTTP/1.1 server and client over asyncio streams. h11 parses; this package limits, times out and pools."""
