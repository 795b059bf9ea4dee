"""Adapter to the users' platform's protocols; `delivery` decides where calls run."""
