"""Starts real fronts before small stand-ins, for the cases of the review."""
