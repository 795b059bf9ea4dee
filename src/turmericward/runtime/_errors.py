"""Errors of the runtime."""


class RuntimeFaultError(Exception):
    """Base of this package's errors; never raised itself."""


class TaskStoppedError(RuntimeFaultError):
    """Raised for a message that reached a task after it had stopped."""
