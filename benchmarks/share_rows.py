"""Bytes, memory and time of shares: `python -m benchmarks.share_rows`."""

import gc
import random
import time
import tracemalloc

from turmericward import peers, sharing

SERVICES = 4
WORKSPACES = 3_300
MEMBERS = 57
REPETITIONS = 50
OFFERS = 10_000
BYTES_PER_KB = 1_000


def _work(rng: random.Random, rows: int) -> sharing.ServiceWork:
    heaviest = {rng.getrandbits(31): rng.randrange(200, 60_000) for _ in range(rows)}
    return sharing.ServiceWork(
        served=500_000,
        others=30_000,
        others_count=200,
        heaviest=heaviest,
        pressure=sharing.Pressure(total=250.0, samples=300.0),
    )


def _datagram(work: sharing.Work | None) -> bytes:
    state = peers.PeerState(front="front-1", boot=1, sequence=1, loads={}, work=work)
    return peers.encode(state)


def _milliseconds(function, repetitions: int = REPETITIONS) -> float:
    start = time.perf_counter()
    for _ in range(repetitions):
        function()
    return (time.perf_counter() - start) / repetitions * 1_000


def _print_bytes(rng: random.Random) -> None:
    empty = len(_datagram(None))
    for rows in (0, sharing.MAX_PUBLISHED_WORKSPACES, sharing.MAX_SUMMED_WORKSPACES):
        work = {rng.getrandbits(31): _work(rng, rows) for _ in range(SERVICES)}
        data = _datagram(work)
        encode_ms = _milliseconds(lambda work=work: _datagram(work))
        decode_ms = _milliseconds(lambda data=data: peers.decode(data))
        print(
            f"{SERVICES} services, {rows} workspaces each: {len(data) - empty} bytes, "
            f"encoded in {encode_ms:.2f} ms, decoded in {decode_ms:.2f} ms"
        )


def _shares_of(workspaces: int) -> sharing.Shares:
    shares = sharing.Shares(1)
    for i in range(workspaces):
        offer = sharing.Offer(
            service="model", workspace=f"workspace-{i}", priority=1, work=5.0
        )
        shares.offer(offer, 0.0)
    return shares


def _print_state() -> None:
    tracemalloc.start()
    for count in (WORKSPACES // 10, WORKSPACES):
        before = tracemalloc.get_traced_memory()[0]
        shares = _shares_of(count)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        print(f"{count} workspaces: {used / BYTES_PER_KB:.0f} KB a service")
        del shares
    tracemalloc.stop()


def _print_times(rng: random.Random) -> None:
    shares = _shares_of(WORKSPACES)
    accounts = shares._services["model"].accounts
    rows = sharing.MAX_PUBLISHED_WORKSPACES
    members = [{1: _work(rng, rows)} for _ in range(MEMBERS)]
    offer = sharing.Offer(service="model", workspace="w", priority=1, work=5.0)
    print(f"sum of accounts: {_milliseconds(lambda: accounts.work(1.0)):.2f} ms")
    print(f"sum of members: {_milliseconds(lambda: sharing.sum_work(members)):.2f} ms")
    offer_ms = _milliseconds(lambda: shares.offer(offer, 1.0), OFFERS)
    print(f"an offer: {offer_ms:.4f} ms")


def main() -> None:
    """Prints the figures of docs/CAPACITY.md."""
    rng = random.Random(1)
    _print_bytes(rng)
    _print_state()
    _print_times(rng)


if __name__ == "__main__":
    main()
