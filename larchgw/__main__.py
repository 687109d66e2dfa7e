"""`python -m larchgw`: serves. With arguments, the command line."""

import sys


def main() -> int:
    """Without arguments nothing of the command line is loaded: the platform's memory limits bind."""
    if len(sys.argv) > 1:
        from .cli.main import run

        return run()
    from .daemon import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
