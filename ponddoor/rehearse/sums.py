"""What reached the list and the servers on a rehearsed day, from the records: peaks, sums, how long until all
fronts have the list."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

SECOND = 1_000_000
Row = dict[str, Any]


def peak(moments: Iterable[int], span: int) -> int:
    """The most moments within any `span` microseconds."""
    ordered, most, first = sorted(moments), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def busiest(rows: list[Row], what: str) -> int:
    """The most of a kind at any one server within 100 ms."""
    by_server: dict[int, list[int]] = defaultdict(list)
    for row in rows:
        if row["what"] == what:
            by_server[row["server"]].append(row["at"])
    return max((peak(moments, SECOND // 10) for moments in by_server.values()), default=0)


def outages(rows: list[Row]) -> list[tuple[int, int]]:
    """When the list was down by the day's order, or had fallen, from and to."""
    found, since = list[tuple[int, int]](), None
    for row in rows:
        if row["what"] != "order" or row.get("kind") not in ("board", "discovery_down"):
            continue
        if row["on"] and since is None:
            since = row["at"]
        elif not row["on"] and since is not None:
            found.append((since, row["at"]))
            since = None
    return found


def first_tries(rows: list[Row], event: int) -> list[int]:
    """Each front's first try at the list after a moment."""
    first: dict[int, int] = {}
    for row in rows:
        if row["what"] == "came" and row["at"] > event:
            first.setdefault(row["front"], row["at"])
    return list(first.values())


def evenness(moments: list[int], window: int) -> float:
    """The peak in a window over the mean of the spread; a fleet that comes within one window counts whole."""
    span = max(max(moments) - min(moments), window)
    return peak(moments, window) * span / (len(moments) * window)


def sums(rows: list[Row], fronts: int) -> dict[str, float]:
    """Figures of a day. Times in seconds; tries are those that reached the list."""
    came = [row["at"] for row in rows if row["what"] == "came"]
    found: dict[str, float] = {
        "list: tries": len(came),
        "list: most in 10 ms": peak(came, 10_000),
        "list: most in 100 ms": peak(came, 100_000),
        "list: turned away": sum(r["what"] == "came" and r["verdict"] == "turned-away" for r in rows),
        "list: fell": sum(row["what"] == "list-fell" for row in rows),
    }
    for kind in ("handshake", "probe", "setup"):
        found[f"servers: {kind}s"] = sum(row["what"] == kind for row in rows)
        found[f"servers: most {kind}s at one in 100 ms"] = busiest(rows, kind)
    for since, until in outages(rows)[-1:]:
        late = [at for at in came if since + 10 * SECOND <= at < until]
        if until - since > 11 * SECOND:
            rate = len(late) * SECOND / (until - since - 10 * SECOND)
            found["outage: tries a second after 10 s"] = round(rate, 2)
            found["outage: tries a second a front"] = round(rate / fronts, 3)
        back: dict[int, int] = {}
        for row in rows:
            if row["what"] == "has-list" and row["at"] >= until:
                back.setdefault(row["front"], row["at"] - until)
        times = sorted(back.values())
        for name, part in (("half", 0.5), ("99%", 0.99), ("all", 1.0)):
            need = -int(-part * fronts // 1)
            if len(times) >= need:
                found[f"list back: {name} have it after, s"] = round(times[need - 1] / SECOND, 2)
    for row in rows:
        lost = row["what"] == "link-reset" and row["ways"][0][1] == ["list"]
        told = row["what"] == "signal" and row["number"] == "SIGHUP"
        if (lost or told) and (tries := first_tries(rows, row["at"])):
            name = "all told to move" if told else "all broken off"
            found[f"{name}: came"] = len(tries)
            found[f"{name}: most in 10 ms"] = peak(tries, 10_000)
            found[f"{name}: most in 100 ms"] = peak(tries, 100_000)
            found[f"{name}: over the mean, 10 ms"] = round(evenness(tries, 10_000), 2)
            found[f"{name}: over the mean, 100 ms"] = round(evenness(tries, 100_000), 2)
            found[f"{name}: all came within, s"] = round((max(tries) - row["at"]) / SECOND, 2)
    held = Counter[int]()
    servers = {(row["front"], row["server"]) for row in rows if row["what"] == "handshake"}
    held.update(front for front, _ in servers)
    found["servers a front met, most"] = max(held.values(), default=0)
    return found
