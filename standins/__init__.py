"""Stand-ins for the external systems of the product, for tests and demos."""
