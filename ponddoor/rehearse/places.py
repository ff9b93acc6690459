"""Where the fronts of a day stand: so many share a machine, machines a rack, racks a zone, zones a region.

Free of I/O. Fronts take the site's zones in turn; a machine holds fronts of one zone, in order of number."""

from collections.abc import Callable
from dataclasses import dataclass

MOST_HOLLOW = 2000
KINDS = ("machine", "rack", "zone", "region")


@dataclass(frozen=True, slots=True)
class Layout:
    """`zones` are those of the site's fronts in order; `machine` fronts a machine, `rack` machines a rack."""

    zones: tuple[int, ...] = (0,)
    machine: int = 4
    rack: int = 5
    regions: int = 1

    def zone(self, front: int) -> int:
        return self.zones[front % len(self.zones)]

    def region(self, front: int) -> int:
        """Zones that follow one another are one region."""
        named = sorted(set(self.zones))
        return named.index(self.zone(front)) * self.regions // len(named)

    def groups(self, kind: str, fronts: int) -> list[list[int]]:
        """The fronts of each place of a kind, places in order. Raises ValueError for an unknown kind."""
        match kind:
            case "zone":
                return self._by(fronts, self.zone)
            case "region":
                return self._by(fronts, self.region)
            case "machine" | "rack":
                size = self.machine * (self.rack if kind == "rack" else 1)
                zones = self._by(fronts, self.zone)
                return [zone[at : at + size] for zone in zones for at in range(0, len(zone), size)]
        raise ValueError(f"{kind} is no kind of place: {', '.join(KINDS)}")

    def count(self, kind: str, fronts: int) -> int:
        return len(self.groups(kind, fronts))

    def _by(self, fronts: int, place: Callable[[int], int]) -> list[list[int]]:
        found: dict[int, list[int]] = {}
        for front in range(fronts):
            found.setdefault(place(front), []).append(front)
        return [found[number] for number in sorted(found)]
