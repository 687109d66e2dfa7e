"""Decisions of a dispatcher that pushes jobs to workers: see README.md."""

from .choice import Dispatcher
from .interface import Settings

__all__ = ["Dispatcher", "Settings"]
