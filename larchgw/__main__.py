"""`python -m larchgw`: serves. With the name of a role, that role; with other arguments, the command line."""

import signal
import sys

# Until a handler stands, a SIGHUP would end the process. All other imports come after this.
_inherited = signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Roles and the plain start load nothing of the command line: limits on memory and time bind."""
    arguments = sys.argv[1:]
    if not arguments:
        from .dispatcher.daemon import serve

        return serve()
    from .roles import ROLES, run_role

    if len(arguments) == 1 and arguments[0] in ROLES:
        return run_role(arguments[0])
    signal.signal(signal.SIGHUP, _inherited or signal.SIG_DFL)  # the command line ends with its terminal
    from .cli.main import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
