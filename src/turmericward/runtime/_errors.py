"""Errors of the runtime."""


class RuntimeFaultError(Exception):
    """Base class of the errors of this package; not raised directly."""


class TaskStoppedError(RuntimeFaultError):
    """Raised for a message sent to a task that has stopped."""
