"""HTTP/1.1 over asyncio streams: h11 parses, this package bounds, times and pools."""
