"""Errors of the explorations, and the simulated crash that ends a process within a write."""

from __future__ import annotations


class ModelCheckingError(Exception):
    """Base of all errors that explorations raise."""


class InvariantError(ModelCheckingError):
    """A property that must hold in every run does not; the message says which, at whom and when."""


class SimulatedCrashError(ModelCheckingError):
    """The machine has lost power, or the process was killed, in the middle of a write.

    Raised from the disk through the code under test up to the simulated machine, which ends the process.
    """
