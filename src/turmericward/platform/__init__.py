"""Adapter to the users' platform: translates its protocols, decides nothing."""
