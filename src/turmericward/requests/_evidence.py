"""Kinds of evidence on which calls crash targets, and when each kind is certain."""

import enum
import math

import attrs


class EvidenceKind(enum.Enum):
    """What calls under which targets crash may have in common."""

    # A segment that their prompts share.
    SEGMENT = "segment"
    # All of it: it is one call of one caller, sent again and again.
    REQUEST = "request"


@attrs.frozen(kw_only=True)
class Rules:
    """When a key of a kind is barred, and when that ends.

    A key without any known answer is barred after `crashes_unanswered` targets have
    crashed, even if other barred keys were there too, any key after
    `crashes_certain` that no other explains. A crash up to `recent_answer_s` after an
    answer doesn't count against a key. An answer lifts a bar if there are more than
    `chance_answers` lately, as one front sees them; `max_answered` bounds the keys
    whose answers a front remembers. Each crash above those that bar a key makes its
    bar `bar_growth` times as long, up to `max_bar_s`. With `tries_explained_early`, a
    key that was answered once, and never the only barred one at a crash, is tried
    sooner. A bar that has run out is remembered for `bar_memory_s`, if no trial decides
    about it.
    """

    crashes_unanswered: float
    crashes_certain: int
    recent_answer_s: float
    chance_answers: float
    max_answered: int
    bar_growth: int
    max_bar_s: float
    bar_memory_s: float
    tries_explained_early: bool


RULES = {
    # Prompts share segments by chance, and some of those with a bad one end before it
    # does harm.
    EvidenceKind.SEGMENT: Rules(
        crashes_unanswered=math.inf,
        crashes_certain=5,
        recent_answer_s=2.0,
        chance_answers=1.5,
        max_answered=3_000,
        bar_growth=2,
        max_bar_s=600.0,
        bar_memory_s=600.0,
        tries_explained_early=False,
    ),
    # What many callers read is answered all the time. What nobody answers is of one
    # caller, who loses little by a bar; each trial ends another target.
    EvidenceKind.REQUEST: Rules(
        crashes_unanswered=3,
        crashes_certain=4,
        # What was answered before may crash other software, or on other data.
        recent_answer_s=0.0,
        chance_answers=0.0,
        max_answered=1_000,
        bar_growth=8,
        max_bar_s=86_400.0,
        bar_memory_s=86_400.0,
        tries_explained_early=True,
    ),
}
