"""Follows topics of the store, by reading it or by record batches from peers.

Most fronts of a failure domain don't read the store: one of them, the reader,
forwards the records it reads. A front whose last batch is too old reads the store
itself.
"""

from turmericward.feeds._cursor import Cursor
from turmericward.feeds._follow_loop import FollowLoop, Listing, Pacing, Sink, Store
from turmericward.feeds._history import History
from turmericward.feeds._messages import (
    MalformedBatchError,
    Record,
    RecordBatch,
    Topic,
    TopicRange,
    blank_record,
)

__all__ = [
    "Cursor",
    "FollowLoop",
    "History",
    "Listing",
    "MalformedBatchError",
    "RecordBatch",
    "Pacing",
    "Record",
    "Sink",
    "Store",
    "Topic",
    "TopicRange",
    "blank_record",
]
