"""A job dispatcher, and a router and placer for many models: see README.md."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .dispatcher.scheduling.interface import Settings
    from .dispatcher.scheduling.scheduler import Dispatcher

__version__ = "0.6.0"
__all__ = ["Dispatcher", "Settings", "__version__"]


def __getattr__(name: str) -> object:
    """Loads the scheduler when it is first used.

    The roles of the system do not need it, and `__main__` has to ignore SIGHUP as soon as it can.

    Raises:
        AttributeError: The package exports no such name.
    """
    if name == "Dispatcher":
        from .dispatcher.scheduling.scheduler import Dispatcher

        return Dispatcher
    if name == "Settings":
        from .dispatcher.scheduling.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
