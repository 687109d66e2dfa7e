"""A dispatcher that pushes jobs to workers: see README.md."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .dispatcher.scheduling.interface import Settings
    from .dispatcher.scheduling.scheduler import Dispatcher

__version__ = "0.6.0"
__all__ = ["Dispatcher", "Settings", "__version__"]


def __getattr__(name: str) -> Any:
    """Loads the decision module when it is first asked for: the roles of the system do not need it, and
    `__main__` has to ignore SIGHUP as soon as it can.
    """
    if name == "Dispatcher":
        from .dispatcher.scheduling.scheduler import Dispatcher

        return Dispatcher
    if name == "Settings":
        from .dispatcher.scheduling.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
