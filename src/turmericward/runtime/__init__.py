"""Tasks that own their state and exchange messages, and the threads running them."""

from turmericward.runtime._clock import now
from turmericward.runtime._drain import Drain
from turmericward.runtime._errors import RuntimeFaultError, TaskStoppedError
from turmericward.runtime._group import Group
from turmericward.runtime._ids import new_id, sha256_hex
from turmericward.runtime._sockets import unacknowledged_bytes, unread_bytes
from turmericward.runtime._task import MAX_FAILURES_IN_A_ROW, Loop, Task
from turmericward.runtime._waiters import Waiters

__all__ = [
    "MAX_FAILURES_IN_A_ROW",
    "Drain",
    "Group",
    "Loop",
    "RuntimeFaultError",
    "Task",
    "TaskStoppedError",
    "Waiters",
    "new_id",
    "now",
    "sha256_hex",
    "unacknowledged_bytes",
    "unread_bytes",
]
