"""A whole installation in virtual time: the real core and decisions, models of all around them."""

from .scenario import Scenario, no_room, settings_for
from .summary import summary
from .world import World

__all__ = ["Scenario", "World", "no_room", "settings_for", "summary"]
