"""Dispatch sub-second tasks so that each class of work meets its response target."""

__all__ = ["__version__"]

__version__ = "0.1.0"
