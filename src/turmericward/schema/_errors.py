"""Errors of the schema layer."""


class SchemaError(ValueError):
    """Raised when a value violates its schema.

    Each argument describes one error and begins with its path.
    """

    def __str__(self) -> str:
        """Joins the descriptions with a semicolon."""
        return "; ".join(str(arg) for arg in self.args)
