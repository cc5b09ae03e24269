"""Fleet capacity and maintenance manager for small operators of a fixed fleet.

The library has layers: `coordination` makes decisions, `state` holds replicated and stored state,
`protocol` defines messages and interfaces, and `transport` sends and receives bytes. `entry` and
`controller` are thin daemons on top of them. `jobs` runs jobs of several steps on workers, and
`platform` adapts it to the users' platform.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
