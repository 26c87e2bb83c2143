"""Decision logic without I/O.

No module in this package opens a socket or file, starts a timer, reads a
clock or draws a random number. Inputs are typed events and `now_ms`; outputs
are typed effects that `lagooncrank.server` carries out.
"""
