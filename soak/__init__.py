"""Randomized soak test: the real programs under externally injected faults.

Each seed starts control nodes and entries as separate processes on loopback
addresses. Fake backend servers, callers and an operator run in the process of
the test. Every connection to a node or a server goes through a proxy in this
process. Several faults may be in effect at the same time. The responses that
callers receive and the requests that servers receive are checked against the
system's guarantees.
"""
