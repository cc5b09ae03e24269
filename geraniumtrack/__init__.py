"""Fleet capacity and maintenance manager for small operators of a fixed fleet.

The library is layered: `coordination` decides, `state` keeps what must last, `protocol` defines
the messages and `transport` moves bytes. `entry` and `controller` are thin daemons over it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
