"""`python -m ponddoor.node`: one node on the platform, in the foreground."""

import os
import signal
import sys
import time

from ponddoor.node.early import EarlySignal

_EARLY_SIGNALS: list[EarlySignal] = []


def main() -> int:
    """Run a node. Returns its exit status: 2 for unusable settings, 1 if an address cannot be bound."""
    # Before the slow imports: a signal must not kill the process while it starts
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number, lambda received, _: _EARLY_SIGNALS.append(EarlySignal(received, time.monotonic_ns()))
        )
    from ponddoor.node.serving import serve

    return serve(os.environ, _EARLY_SIGNALS)


if __name__ == "__main__":
    sys.exit(main())
