"""`python -m ponddoor.simhost`: runs the adapter of the simulator on standard input and output."""

import sys

from ponddoor.platform.facts import MalformedError
from ponddoor.simhost.host import serve


def main() -> int:
    """Serve until the input ends. Returns the exit status: 2 if the input was malformed, else 0."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedError as problem:
        print(f"ponddoor.simhost: malformed input: {problem}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
