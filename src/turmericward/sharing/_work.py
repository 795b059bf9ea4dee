"""Work of calls, and the work that a front publishes for its workspaces.

The work of a prompt is counted in prompt tokens, that of a plain call in milliseconds
at its target. Work of one service is never compared with that of another one.
"""

import heapq
from collections.abc import Iterable, Mapping

import attrs

from turmericward import requests

# Prompt tokens that an engine prefills in the time of one output token: a decode step
# of about 5 ms yields up to 12 tokens, prefill runs at about 50 tokens a millisecond.
OUTPUT_TOKEN_WORK = 20.0
# Workspaces of a service that one front publishes, and that a sum of fronts holds.
MAX_PUBLISHED_WORKSPACES = 32
MAX_SUMMED_WORKSPACES = 64


def prompt_work(prompt, uncached_share: float) -> float:
    """Returns the expected work of a prompt before it is placed.

    Args:
        prompt: the prompt, or the demand of one.
        uncached_share: share of the shared segments that has to be prefilled.
    """
    shared = shared_tokens(prompt)
    prefilled = prompt.tokens - shared + uncached_share * shared
    return prefilled + output_work(prompt)


def shared_tokens(prompt) -> int:
    """Returns the tokens of a prompt that other prompts may share."""
    if isinstance(prompt, requests.Demand):
        return prompt.prefix_tokens
    return prompt.shared_tokens


def output_work(prompt) -> float:
    """Returns the work of the answer to a prompt."""
    return OUTPUT_TOKEN_WORK * prompt.output_tokens


# With fewer recent samples of waits nothing is concluded.
MIN_SAMPLES = 2.0


@attrs.frozen(kw_only=True)
class Pressure:
    """Recent waits of calls as shares of their latency objectives: sum and number.

    A front alone has too few calls to tell whether a service is saturated.
    """

    total: float = 0.0
    samples: float = 0.0

    @property
    def mean(self) -> float:
        """Mean of the samples, 0 with too few."""
        return self.total / self.samples if self.samples >= MIN_SAMPLES else 0.0

    def __add__(self, other: "Pressure") -> "Pressure":
        """Returns the samples of both."""
        return Pressure(
            total=self.total + other.total, samples=self.samples + other.samples
        )

    def without(self, other: "Pressure") -> "Pressure":
        """Returns the remaining samples."""
        return Pressure(
            total=max(0.0, self.total - other.total),
            samples=max(0.0, self.samples - other.samples),
        )


NO_PRESSURE = Pressure()


@attrs.frozen(kw_only=True)
class ServiceWork:
    """Work per second at one service, of one or several fronts.

    `served` is what targets have done, `heaviest` what the heaviest workspaces asked
    for, by the hash of their names, `others` what all remaining ones did, of which
    there are at least `others_count`.
    """

    served: float = 0.0
    others: float = 0.0
    others_count: int = 0
    heaviest: Mapping[int, float] = attrs.field(factory=dict)
    pressure: Pressure = NO_PRESSURE

    @property
    def offered(self) -> float:
        """Work that all workspaces asked for."""
        return self.others + sum(self.heaviest.values())

    @property
    def count(self) -> int:
        """Number of workspaces, as far as is known."""
        return len(self.heaviest) + self.others_count

    def limited_to(self, count: int) -> "ServiceWork":
        """Returns the same work with the heaviest `count` workspaces named."""
        if len(self.heaviest) <= count:
            return self
        kept = heapq.nlargest(
            count, self.heaviest.items(), key=lambda row: (row[1], row[0])
        )
        others = self.offered - sum(value for _, value in kept)
        return attrs.evolve(
            self,
            heaviest=dict(kept),
            others=max(0.0, others),
            others_count=self.count - len(kept),
        )

    def without(self, own: "ServiceWork") -> "ServiceWork":
        """Returns the sum without the part of one front."""
        heaviest, others = dict(self.heaviest), self.others - own.others
        for workspace, value in own.heaviest.items():
            if workspace in heaviest:
                heaviest[workspace] = max(0.0, heaviest[workspace] - value)
            else:
                others -= value
        return ServiceWork(
            served=max(0.0, self.served - own.served),
            others=max(0.0, others),
            others_count=self.others_count,
            heaviest=heaviest,
            pressure=self.pressure.without(own.pressure),
        )


NO_WORK = ServiceWork()
# By the hash of the service's name.
Work = Mapping[int, ServiceWork]


def sum_services(parts: Iterable[ServiceWork]) -> ServiceWork:
    """Returns the work of several fronts at one service, with all their workspaces."""
    served = others = 0.0
    count = 0
    pressure = NO_PRESSURE
    heaviest: dict[int, float] = {}
    for part in parts:
        served += part.served
        others += part.others
        count = max(count, part.count)
        pressure += part.pressure
        for workspace, value in part.heaviest.items():
            heaviest[workspace] = heaviest.get(workspace, 0.0) + value
    # Several fronts' other workspaces are partly the same ones, and may be named here.
    return ServiceWork(
        served=served,
        others=others,
        others_count=max(0, count - len(heaviest)),
        heaviest=heaviest,
        pressure=pressure,
    )


def sum_work(works: Iterable[Work]) -> dict[int, ServiceWork]:
    """Returns the work of several fronts, with the heaviest workspaces named."""
    by_service: dict[int, list[ServiceWork]] = {}
    for work in works:
        for service, part in work.items():
            by_service.setdefault(service, []).append(part)
    return {
        service: sum_services(parts).limited_to(MAX_SUMMED_WORKSPACES)
        for service, parts in by_service.items()
    }


def without(total: Work, own: Work) -> dict[int, ServiceWork]:
    """Returns the work of several fronts without that of one of them."""
    return {
        service: part.without(own[service]) if service in own else part
        for service, part in total.items()
    }
