"""The stages that process a request, in order: receive, admit, route, send, relay, record."""

from .admit import Admit
from .receive import Receive
from .record import Record
from .relay import Relay
from .route import Route
from .send import Send

__all__ = ["Admit", "Receive", "Record", "Relay", "Route", "Send"]
