"""Errors of the schema layer."""


class SchemaError(ValueError):
    """Raised when a value breaks its schema.

    Each argument is one sentence that begins with the path to the fault.
    """

    def __str__(self) -> str:
        """Joins the sentences with a semicolon."""
        return "; ".join(str(arg) for arg in self.args)
