"""Simulation of the users' platform for the process tests: backend servers, object store,
promotion and usage reports.

It runs in one thread with its own event loop. Tests change its state with `Platform.call`, which
runs a function in that thread.
"""

from .http import RawJson
from .platform import Platform

__all__ = ["Platform", "RawJson"]
