"""Stand-in of the users' platform for the process tests: backends, object store and promotion.

Everything runs in one thread with an event loop of its own. Tests change the state through
`Platform.call`, which runs a function in that thread.
"""

from .platform import Platform

__all__ = ["Platform"]
