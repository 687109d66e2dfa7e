"""A dispatcher that pushes jobs to workers: see README.md."""

from .choice import Dispatcher
from .interface import Settings

__version__ = "0.6.0"
__all__ = ["Dispatcher", "Settings", "__version__"]
