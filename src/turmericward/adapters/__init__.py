"""Adapters: the log, the instance list, targets, stewards, over the network."""
