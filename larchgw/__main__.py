"""`python -m larchgw`: runs the dispatcher, a role if its name is the argument, or else the command line."""

import signal
import sys

# SIGHUP would terminate the process until a handler is installed, so this precedes all other imports.
_inherited_handler = signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Runs the program; without arguments or with a role, it avoids loading the command line.

    Memory and start time of these processes are limited.
    """
    arguments = sys.argv[1:]
    if not arguments:
        from .dispatcher.daemon import serve

        return serve()
    from .roles import ROLES, run_role

    if len(arguments) == 1 and arguments[0] in ROLES:
        return run_role(arguments[0])
    # Restored, so that a command ends when its terminal is closed.
    signal.signal(signal.SIGHUP, _inherited_handler or signal.SIG_DFL)
    from .cli.main import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
