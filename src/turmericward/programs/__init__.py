"""The programs of the product."""
