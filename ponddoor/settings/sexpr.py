"""S-expressions with positions: text to nodes and back. The grammar is parsed by lark."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

_GRAMMAR = r"""
start: list*
list: "(" (list | TEXT | ATOM)* ")"
TEXT: /"(\\["\\]|[^"\\\n])*"/
ATOM: /[^\s()";]+/
COMMENT: /;[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""
_PARSER = Lark(_GRAMMAR, parser="lalr", propagate_positions=True)
MOST_BYTES = 4_000_000  # of one file; larger ones are refused before they are parsed


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands: file, line and column, both counted from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong with a file."""

    place: Place
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: found {self.found}, expected {self.expected}"


class SettingsError(Exception):
    """A file can't be used; `problems` holds everything that is wrong with it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Atom:
    """A word, a number or a quoted text."""

    text: str
    quoted: bool
    place: Place

    def __str__(self) -> str:
        plain = self.text.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{plain}"' if self.quoted else self.text


@dataclass(frozen=True, slots=True)
class Listing:
    """A list in parentheses."""

    items: "tuple[Node, ...]"
    place: Place

    @property
    def head(self) -> str:
        """The word it begins with; empty where it begins otherwise."""
        first = self.items[0] if self.items else None
        return first.text if isinstance(first, Atom) and not first.quoted else ""

    def __str__(self) -> str:
        return f"({' '.join(map(str, self.items))})"


Node = Atom | Listing
NOWHERE = Place("-", 1, 1)


def parse(text: str, file: str) -> list[Listing]:
    """The lists of a text, in order. Raises SettingsError with the first place that is no S-expression."""
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as problem:
        raise SettingsError([_syntax(problem, text, file)]) from None
    return [_listing(child, file) for child in tree.children if isinstance(child, Tree)]


def read(path: Path) -> list[Listing]:
    """The lists of a file. Raises SettingsError where it can't be read, is too large or is malformed."""
    place = Place(str(path), 1, 1)
    try:
        data = path.read_bytes()
        if len(data) > MOST_BYTES:
            raise SettingsError([Problem(place, f"{len(data)} bytes", f"{MOST_BYTES} at most")])
        return parse(data.decode(), str(path))
    except OSError as problem:
        raise SettingsError([Problem(place, problem.strerror or "an error", "a readable file")]) from None
    except UnicodeDecodeError as problem:
        raise SettingsError(
            [Problem(place, f"byte {problem.start} that is no UTF-8", "UTF-8 text")]
        ) from None


def write(nodes: Iterable[Node]) -> str:
    """The text of nodes, a top-level list a line."""
    return "".join(f"{node}\n" for node in nodes)


def form(head: str, *items: "Node | str | int | float") -> Listing:
    """A list built by hand; texts become quoted atoms, numbers plain ones."""
    made = (
        item if isinstance(item, Atom | Listing) else Atom(str(item), isinstance(item, str), NOWHERE)
        for item in items
    )
    return Listing((Atom(head, False, NOWHERE), *made), NOWHERE)


def word(text: str) -> Atom:
    """An unquoted atom built by hand."""
    return Atom(text, False, NOWHERE)


def _listing(tree: "Tree[Token]", file: str) -> Listing:
    items: list[Node] = []
    for child in tree.children:
        if isinstance(child, Tree):
            items.append(_listing(child, file))
            continue
        quoted = child.type == "TEXT"
        text = child[1:-1].replace('\\"', '"').replace("\\\\", "\\") if quoted else str(child)
        items.append(Atom(text, quoted, Place(file, child.line or 1, child.column or 1)))
    return Listing(tuple(items), Place(file, tree.meta.line, tree.meta.column))


def _syntax(problem: UnexpectedInput, text: str, file: str) -> Problem:
    if isinstance(problem, UnexpectedEOF) or (
        isinstance(problem, UnexpectedToken) and problem.token.type == "$END"
    ):
        lines = text.split("\n")
        return Problem(Place(file, len(lines), len(lines[-1]) + 1), "the end of the file", "')'")
    place = Place(file, problem.line, problem.column)
    if isinstance(problem, UnexpectedCharacters):
        return Problem(place, repr(text[problem.pos_in_stream or 0]), "a list, a word or a closed text")
    found = repr(str(problem.token)) if isinstance(problem, UnexpectedToken) else "something else"
    return Problem(place, found, "a list that begins with '('")
