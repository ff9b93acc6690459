"""Checks one form after another and collects all that is wrong: nothing stops at the first problem."""

import re
from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

from ponddoor.settings.sexpr import Atom, Listing, Node, Place, Problem

TIMES = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
RATES = {"kB/s": 1.0, "MB/s": 1_000.0, "GB/s": 1_000_000.0}
SIZES = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
T = TypeVar("T")
_AMOUNT = re.compile(r"(-?\d+(?:\.\d+)?)([A-Za-z/]*)")


class Form:
    """Reads the fields of one list `(head positional... (field value...)...)`.

    Each reader returns the value, or its default where the field is absent or wrong; what is wrong is added
    to `problems`. `done` reports fields that nobody read."""

    def __init__(self, node: Listing, problems: list[Problem]) -> None:
        self.node, self.problems = node, problems
        self.words = [item for item in node.items[1:] if isinstance(item, Atom)]
        self._fields: dict[str, list[Listing]] = {}
        for item in node.items[1:]:
            if isinstance(item, Listing):
                if not item.head:
                    self.problem(item.place, "a list without a name", "a field such as (name value)")
                self._fields.setdefault(item.head, []).append(item)
        self._read: set[str] = set()
        self._known: list[str] = []

    @property
    def place(self) -> Place:
        return self.node.place

    def problem(self, place: Place, found: str, expected: str) -> None:
        self.problems.append(Problem(place, found, expected))

    def has(self, name: str) -> bool:
        return name in self._fields

    def many(self, name: str) -> "list[Form]":
        """All fields of this name, in order."""
        self._read.add(name)
        self._known.append(name)
        return [Form(item, self.problems) for item in self._fields.get(name, [])]

    def one(self, name: str, needed: bool = True) -> "Form | None":
        """The one field of this name."""
        found = self.many(name)
        for further in found[1:]:
            self.problem(further.place, f"a second ({name} ...)", f"one, as at {found[0].place}")
        if not found and needed:
            self.problem(self.place, f"no ({name} ...) in ({self.node.head} ...)", f"({name} ...)")
        return found[0] if found else None

    def section(self, name: str) -> "Form":
        """The one field of this name, or an empty one where it may be left out whole."""
        return self.one(name, needed=False) or Form(Listing((), self.place), self.problems)

    def atom(self, name: str, needed: bool) -> Atom | None:
        held = self.one(name, needed)
        if held is None:
            return None
        if len(held.node.items) != 2 or not held.words:
            self.problem(held.place, f"{held.node}", f"({name} VALUE)")
            return None
        return held.words[0]

    def value(self, name: str, default: T | None, read: Callable[[Atom], T | None]) -> T | None:
        atom = self.atom(name, default is None)
        got = read(atom) if atom is not None else None
        return default if got is None else got

    def measure(
        self,
        atom: Atom,
        units: dict[str, float] | dict[str, int],
        low: float,
        high: float,
        whole: bool = False,
    ) -> float | None:
        """An amount with a unit, in the smallest unit. Reports other words, units and ranges."""
        match = None if atom.quoted else _AMOUNT.fullmatch(atom.text)
        shown = " or ".join(units) if units else "no unit"
        if match is None or (match[2] not in units if units else match[2]):
            self.problem(atom.place, str(atom), f"a {'whole ' if whole else ''}number with {shown}")
            return None
        got = float(match[1]) * (units[match[2]] if units else 1)
        if not low <= got <= high or (whole and got != round(got)):
            self.problem(atom.place, str(atom), self._range(units, low, high, whole))
            return None
        return got

    def _range(self, units: dict[str, float] | dict[str, int], low: float, high: float, whole: bool) -> str:
        unit = next(iter(units), "")
        return f"{'a whole number ' if whole else ''}from {low:.15g}{unit} to {high:.15g}{unit}"

    def time(self, name: str, default: int | None = None, low: int = 0, high: int = 3_600_000_000) -> int:
        """Microseconds."""
        got = self.value(name, default, lambda atom: _whole(self.measure(atom, TIMES, low, high)))
        return got or 0

    def rate(self, name: str, default: float | None = None) -> float:
        """Kilobytes a second."""
        return self.value(name, default, lambda atom: self.measure(atom, RATES, 0.001, 1e12)) or 1.0

    def size(self, name: str, default: int, low: int, high: int) -> int:
        """Bytes."""
        return self.value(name, default, lambda a: _whole(self.measure(a, SIZES, low, high))) or 0

    def number(self, name: str, default: float | None = None, low: float = 0.0, high: float = 1e12) -> float:
        return self.value(name, default, lambda atom: self.measure(atom, {}, low, high)) or 0.0

    def whole(self, name: str, default: int | None = None, low: int = 0, high: int = 2**31) -> int:
        return self.value(name, default, lambda a: _whole(self.measure(a, {}, low, high, True))) or 0

    def flag(self, name: str, default: bool | None = None) -> bool:
        return (
            self.choice(name, ("no", "yes"), None if default is None else ("yes" if default else "no"))
            == "yes"
        )

    def choice(self, name: str, allowed: Sequence[str], default: str | None = None) -> str:
        def read(atom: Atom) -> str | None:
            if atom.quoted or atom.text not in allowed:
                self.problem(atom.place, str(atom), " or ".join(allowed))
                return None
            return atom.text

        return self.value(name, default, read) or allowed[0]

    def text(self, name: str, default: str | None = None) -> str:
        def read(atom: Atom) -> str | None:
            if not atom.quoted:
                self.problem(atom.place, str(atom), f'a text such as "{atom}"')
                return None
            return atom.text

        return self.value(name, default, read) or ""

    def address(self, name: str, default: str | None = None) -> tuple[str, int]:
        """HOST:PORT."""

        def read(atom: Atom) -> str | None:
            host, _, port = atom.text.rpartition(":")
            if not host or not port.isdigit() or int(port) > 65535:
                self.problem(atom.place, str(atom), 'an address such as "127.0.0.1:8080"')
                return None
            return atom.text

        host, _, port = (self.value(name, default, read) or "127.0.0.1:0").rpartition(":")
        return host, int(port)

    def name(self) -> Atom:
        """The first word after the head, which names the form."""
        if self.words:
            return self.words[0]
        self.problem(self.place, str(self.node)[:40], f"({self.node.head} NAME ...)")
        return Atom("?", False, self.place)

    def index(self, name: str, among: Sequence[str], what: str, default: int | None = None) -> int:
        """The position of a word that names something defined elsewhere in the file."""

        def read(atom: Atom) -> int | None:
            return self.position(atom, among, what)

        return self.value(name, default, read) or 0

    def position(self, atom: Atom, among: Sequence[str], what: str) -> int | None:
        if atom.text not in among:
            self.problem(atom.place, str(atom), f"{what}: {', '.join(among) or 'none is defined'}")
            return None
        return among.index(atom.text)

    def named(self, name: str, what: str) -> "Iterator[tuple[str, Form]]":
        """All fields of this name with the names they give themselves; a name twice is a problem."""
        seen: dict[str, Place] = {}
        for held in self.many(name):
            own = held.name()
            if own.text in seen:
                self.problem(
                    own.place, f"{what} {own} again", f"another name: it is taken at {seen[own.text]}"
                )
            seen[own.text] = own.place
            yield own.text, held

    def done(self, words: int = 0) -> None:
        """Report what nobody has read: fields of other names, and words beyond so many."""
        for extra in self.words[words:]:
            self.problem(extra.place, str(extra), f"nothing more in ({self.node.head} ...)")
        for name, items in self._fields.items():
            if name and name not in self._read:
                known = ", ".join(dict.fromkeys(self._known)) or "no fields"
                for item in items:
                    self.problem(item.place, f"unknown field ({name} ...)", f"one of: {known}")


def _whole(got: float | None) -> int | None:
    return None if got is None else round(got)


def top_form(nodes: Sequence[Node], head: str, file: str, problems: list[Problem]) -> Form:
    """The only form of a file, which must begin with `head`."""
    listings = [node for node in nodes if isinstance(node, Listing)]
    for node in listings[1:]:
        problems.append(Problem(node.place, f"a second form ({node.head} ...)", f"one ({head} ...)"))
    if not listings or listings[0].head != head:
        place = listings[0].place if listings else Place(file, 1, 1)
        found = f"({listings[0].head} ...)" if listings else "an empty file"
        problems.append(Problem(place, found, f"({head} ...)"))
        return Form(Listing((), place), problems)
    return Form(listings[0], problems)
