"""What became of the seats of a day, from the records of fronts, players and media servers."""

from collections import defaultdict
from dataclasses import dataclass, field

from ponddoor.audit.rules import FOREVER, Account, Row

SECOND = 1_000_000


@dataclass(slots=True)
class SeatsSeen:
    """`played` and `held`: the most at once, by media servers and by fronts. `returns`: seconds from a
    seat's last use to its return, ordered. `wrongly` of `refused` came while a seat was free."""

    limit: int = 0
    seats: int = 0
    played: int = 0
    held: int = 0
    still_held: int = 0
    refused: int = 0
    wrongly: int = 0
    asked: int = 0
    returns: list[float] = field(default_factory=list)


def most(spans: list[tuple[int, int]]) -> int:
    """The most spans that run at once; one that ends where another begins does not meet it."""
    moves = sorted([(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans])
    now = found = 0
    for _, step in moves:
        now += step
        found = max(found, now)
    return found


def seats_seen(account: Account) -> SeatsSeen:
    """A seat that its front's life took with it counts as back when the front is up again without it."""
    seen, begun, ended, sess_of = SeatsSeen(), dict[str, int](), dict[str, int](), dict[str, str]()
    running: dict[int, set[str]] = defaultdict(set)
    refusals: list[int] = []
    seated: set[str] = set()
    for row in account.rows:
        at = int(row["at"])
        match row["what"]:
            case "seat":
                if row["seat"] not in begun:
                    begun[row["seat"]], sess_of[row["seat"]] = at, row["sess"]
                    running[row["front"]].add(row["seat"])
            case "seat-back":
                ended.setdefault(row["seat"], at)
                running[row["front"]].discard(row["seat"])
            case "seats-kept":
                for seat in running[row["front"]] - set(row["seats"]):
                    ended.setdefault(seat, at)
                running[row["front"]] &= set(row["seats"])
            case "answer" if row.get("limit"):
                seen.limit = max(seen.limit, int(row["limit"]))
                seen.asked += 1
                if row["state"] == "playing":
                    seated.add(row["sess"])
                elif _no_seat(row):
                    refusals.append(at)
    spans = [(begin, ended.get(seat, FOREVER)) for seat, begin in begun.items()]
    seen.seats, seen.refused = len(spans), len(refusals)
    seen.held, seen.still_held = most(spans), sum(end == FOREVER for _, end in spans)
    seen.wrongly = sum(sum(begin <= at < end for begin, end in spans) < seen.limit for at in refusals)
    plays = [a for sess in sorted(seated) for a in account.by_sess.get(sess, []) if a.started]
    seen.played = most([(a.started, max(a.started, a.ended)) for a in plays])
    for seat, end in ended.items():
        used = [a.ended for a in account.by_sess.get(sess_of[seat], []) if a.started]
        if used and max(used) < FOREVER:
            seen.returns.append(max(0.0, (end - max(used)) / SECOND))
    seen.returns.sort()
    return seen


def _no_seat(row: Row) -> bool:
    return row["state"] == "busy-replied" and row.get("why") == "no-seat"
