"""Waits that end in time. `asyncio.wait_for` may swallow a cancel that crosses its end (Python 3.11)."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


async def within(seconds: float, work: Awaitable[T]) -> T:
    """What `work` brings. Raises TimeoutError after so many seconds."""
    async with asyncio.timeout(seconds):
        return await work
