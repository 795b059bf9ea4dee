"""Errors of the schema layer."""

# Descriptions may quote values of any length.
MAX_DESCRIPTION_CHARS = 300


class SchemaError(ValueError):
    """Raised when a value violates its schema.

    Each argument describes one error and begins with its path.
    """

    def __str__(self) -> str:
        """Joins the descriptions with a semicolon."""
        return "; ".join(str(arg) for arg in self.args)


class LimitError(SchemaError):
    """Raised when JSON is beyond the limits of the decoder, whoever reads it."""


def printable(text: str) -> str:
    """Returns a description that fits a log line and can be encoded."""
    if len(text) > MAX_DESCRIPTION_CHARS:
        text = f"{text[:MAX_DESCRIPTION_CHARS]}..."
    return text.encode("utf-8", "backslashreplace").decode()
