"""How far each source of hints is believed: its last verdicts against what was measured.

A source is a viewer, a tenant or a server. A verdict says whether one of its hints agreed with the measured
share. Who has few is believed; who contradicts too often is not, until its hints agree again. No clock, no
chance; the table is bounded, and who was heard longest ago is forgotten."""

from collections import OrderedDict
from dataclasses import dataclass, field

Source = tuple[str, str]  # what it is: viewer, tenant or server; and which


@dataclass(frozen=True, slots=True)
class Lenience:
    """Of the last `kept` verdicts, from `least` on, `part` may contradict."""

    kept: int
    least: int
    part: float


LENIENCE = {"viewer": Lenience(8, 2, 0.25), "tenant": Lenience(64, 16, 0.4), "server": Lenience(8, 2, 0.25)}
MOST = 20_000


@dataclass(slots=True)
class Trust:
    """Verdicts by source."""

    most: int = MOST
    verdicts: OrderedDict[Source, list[bool]] = field(default_factory=OrderedDict)
    forgotten: int = 0

    def judge(self, source: Source, agreed: bool) -> None:
        held = self.verdicts.pop(source, [])
        self.verdicts[source] = [*held[1 - LENIENCE[source[0]].kept :], agreed]
        if len(self.verdicts) > self.most:
            self.verdicts.popitem(last=False)
            self.forgotten += 1

    def believed(self, source: Source) -> bool:
        """Guards against sources that lie or whose measure is broken. It may harm who was measured wrongly:
        for as many hints as the verdicts that are kept."""
        held, lenience = self.verdicts.get(source, []), LENIENCE[source[0]]
        return len(held) < lenience.least or held.count(False) <= lenience.part * len(held)

    def untrusted_sources(self) -> list[Source]:
        """Who is not believed now, for operators."""
        return [source for source in self.verdicts if not self.believed(source)]
