"""Fault soak: real fronts, stand-ins and faults drawn from a seed.

The promises are checked from what clients and replicas saw; see `_promises`.
"""
