"""Randomized soak: the real programs under faults injected from outside.

Each seed starts control nodes and entries as processes of their own on
loopback addresses, with stand-in backend servers, callers and an operator in
this process. Every connection that leads to a node or a server runs through a
proxy of this process. While faults come in series and overlap, what callers
and servers see is checked against the promises of the system.
"""
