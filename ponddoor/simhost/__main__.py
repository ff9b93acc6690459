"""`python -m ponddoor.simhost`: the adapter."""

import sys

from ponddoor.platform.facts import MalformedError
from ponddoor.simhost.host import serve


def main() -> int:
    """Serve standard input; 2 if it was malformed."""
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
