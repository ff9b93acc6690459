"""Starts a node from its environment variables, with its log on standard error."""

import asyncio
import gc
import sys
from collections.abc import Mapping
from typing import TextIO, cast

import structlog

from ponddoor.node.descriptors import LogStream
from ponddoor.node.early import EarlySignal
from ponddoor.node.process import Node
from ponddoor.node.start import StartError, read_environment


def serve(environment: Mapping[str, str], early: list[EarlySignal]) -> int:
    """Run a node and return its exit status: 2 if its settings are unusable, 1 if an address cannot be bound.

    `early` collects the signals that arrive before the event loop has its handlers."""
    level = 10 if environment.get("PONDDOOR_LOG") == "debug" else 20
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=repr),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, LogStream(sys.stderr))),
        cache_logger_on_first_use=True,
    )
    try:
        path, settings = read_environment(environment)
        node = Node(settings, log_accounts=level == 10)
    except StartError as problem:
        print(f"ponddoor.node: {problem}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(node.run(path, early))
    except OSError as problem:
        print(f"ponddoor.node: {problem}", file=sys.stderr)
        return 1
    return 0
