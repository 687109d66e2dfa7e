"""`python -m larchgw`: serves. With arguments, the command line."""

import signal
import sys


def main() -> int:
    """Without arguments nothing of the command line is loaded: the platform's memory limits bind."""
    if len(sys.argv) > 1:
        from .cli.main import run

        return run()
    # Until the daemon listens to it, a SIGHUP would end us. The configuration is read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .daemon import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
