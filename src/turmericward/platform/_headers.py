"""HTTP header names of the platform."""

CALL_ID = "Turmericward-Attempt-Id"
DEADLINE_MS = "Turmericward-Deadline-Ms"
EXPECTED_TARGET = "Turmericward-Expect-Instance"
TARGET = "Turmericward-Instance-Id"
NOT_RUN = "Turmericward-Not-Executed"
SIGNATURE = "Turmericward-Server-Stamp"
MODEL = "Turmericward-Model-Id"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKENS = "Turmericward-Token-Count"
# Comma-separated ID:TOKENS of the prompt's prefix segments.
PROMPT_PREFIX = "Turmericward-Prompt-Prefix"
PRIORITY = "Turmericward-Request-Priority"
STAGE = "Turmericward-Serving-Stage"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
# Requests a second that the replica takes from all fronts together.
RATE_LIMIT = "Server-Limit"
# Number of times that the store has returned from an older copy of itself.
STORE_ERA = "Store-Era"
# Names the caller, if any header does: its calls come from several addresses.
CALLER = "Authorization"
# Names the caller's workspace where the configuration has any; a secret.
KEY = "Turmericward-Key"
# Names the workspace to replicas.
WORKSPACE = "Turmericward-Tenant-Id"
# Of calls that are the duty of one front at a time: the front, and its lease.
DUTY_HOLDER = "Turmericward-Duty-Holder"
FENCING_TOKEN = "Turmericward-Fencing-Token"
KV_SOURCE = "Turmericward-Kv-Source"
KV_FETCH = "Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"

# Headers reserved to the system; values sent by clients are dropped.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECTED_TARGET,
        KEY,
        WORKSPACE,
        "Turmericward-Expect-Version",
        PRIORITY,
        STAGE,
        KV_SOURCE,
        KV_FETCH,
        "Turmericward-Kv-Fetch",
        "Turmericward-Kv-Hold",
        "Turmericward-Kv-Backup",
        "Turmericward-Pin-Ms",
    )
)
