"""The stages that a request passes: take in, admit, route, send, relay, book."""

from .admit import Admit
from .book import Book
from .relay import Relay
from .route import Route
from .send import Send
from .take_in import TakeIn

__all__ = ["Admit", "Book", "Relay", "Route", "Send", "TakeIn"]
