"""How far each source of hints is trusted, by the latest comparisons of its hints with measurements.

A source is a viewer, a tenant or a server. A verdict says whether one of its hints agreed with what was
measured. A source with few verdicts is trusted; one that contradicts too often is not, until enough of its
later hints agree. Uses no clock and no random numbers. The table is bounded: beyond `max_sources`, the source
whose last verdict is oldest is evicted."""

from collections import OrderedDict
from dataclasses import dataclass, field

Source = tuple[str, str]  # its kind ("viewer", "tenant" or "server") and its name


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How many contradictions a source may have and still be trusted.

    The last `window` verdicts are kept. Once there are `min_verdicts` of them, at most the part
    `max_contradicted_ratio` may be contradictions."""

    window: int
    min_verdicts: int
    max_contradicted_ratio: float


TOLERANCES = {
    "viewer": Tolerance(8, 2, 0.25),
    "tenant": Tolerance(64, 16, 0.4),
    "server": Tolerance(8, 2, 0.25),
}
MAX_SOURCES = 20_000


@dataclass(slots=True)
class Trust:
    """The latest verdicts on each source, oldest first; True means that the hint agreed."""

    max_sources: int = MAX_SOURCES
    verdicts: OrderedDict[Source, list[bool]] = field(default_factory=OrderedDict)
    evicted: int = 0

    def add_verdict(self, source: Source, agreed: bool) -> None:
        verdicts = self.verdicts.pop(source, [])
        self.verdicts[source] = [*verdicts[1 - TOLERANCES[source[0]].window :], agreed]
        if len(self.verdicts) > self.max_sources:
            self.verdicts.popitem(last=False)
            self.evicted += 1

    def is_trusted(self, source: Source) -> bool:
        """Whether hints of a source may be used.

        Guards against sources that report false values or measure wrongly. A source that was itself measured
        wrongly may be distrusted without cause, for at most as many hints as verdicts are kept."""
        verdicts, tolerance = self.verdicts.get(source, []), TOLERANCES[source[0]]
        return len(verdicts) < tolerance.min_verdicts or (
            verdicts.count(False) <= tolerance.max_contradicted_ratio * len(verdicts)
        )

    def untrusted_sources(self) -> list[Source]:
        """The sources that are not trusted at present, for operators."""
        return [source for source in self.verdicts if not self.is_trusted(source)]
