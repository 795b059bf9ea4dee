"""What a front knows of a topic of the store, read by itself or told by a peer.

Most fronts of a failure domain don't read the store: one of them, the reader,
passes on what it read. A front whose news grow too old reads for itself.
"""

from turmericward.feeds._feed import Feed
from turmericward.feeds._follow_loop import FollowLoop, Listing, Pacing, Sink, Store
from turmericward.feeds._history import History
from turmericward.feeds._messages import (
    Followed,
    MalformedNewsError,
    News,
    Record,
    Topic,
)

__all__ = [
    "Feed",
    "FollowLoop",
    "Followed",
    "History",
    "Listing",
    "MalformedNewsError",
    "News",
    "Pacing",
    "Record",
    "Sink",
    "Store",
    "Topic",
]
