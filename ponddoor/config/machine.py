"""The shared configuration as a state machine, free of I/O: committed changes in, versions out.

Its items are the forms of a site file, each under a key: `limits`, `ladder`, or `groups/film` where a form
holds forms that name themselves. A change is a transaction: what its keys must be at, what it sets, what it
drops. It is checked whole, by the checks of a file, before it is proposed and again when it is applied; one
that does not pass changes nothing. Every version keeps who, when and why, and what was before.

The same changes in the same order make the same versions everywhere: no clock, no chance, no order of
sets."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from ponddoor.settings.sexpr import (
    MOST_BYTES,
    NOWHERE,
    Atom,
    Listing,
    Node,
    SettingsError,
    parse,
    word,
    write,
)
from ponddoor.settings.site import Site, check

# Forms whose parts are items of their own, and the heads of those parts
NESTED = {
    "groups": "group",
    "titles": "title",
    "fronts": "front",
    "entitlements": "entitlement",
    "tenants": "tenant",
}
MOST_KEYS = 20_000
MOST_TEXT = 200_000  # characters of one item
MOST_WHOLE = MOST_BYTES - 100_000  # characters of all items: as a site file it is a little longer
MOST_HISTORY = 1000
MOST_IDENTS = 1000


class MalformedError(Exception):
    """A change that can't be read, or an item that is no form of its key."""


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A transaction. `needs` holds the version that a key must be at, 0 where it must not be there; `sets`
    the form of a key, `drops` keys to take out. `when_us` is the proposer's wall clock, for people."""

    who: str
    why: str
    when_us: int
    sets: dict[str, str] = {}
    drops: list[str] = []
    needs: dict[str, int] = {}
    ident: str = ""  # of a change that may be sent again: the second one is answered as the first


@dataclass(frozen=True, slots=True)
class Item:
    """One form, the version that set it, and its place among others: service groups and tenants are known by
    their order, so what is new comes last."""

    text: str
    version: int
    place: int = 0


@dataclass(frozen=True, slots=True)
class Step:
    """What one version changed of a key; None where it was not there, or is not any more. `place` is the
    item's after it, so that of two that are new each copy of the configuration puts the same one first."""

    key: str
    before: str | None
    after: str | None
    place: int = 0


@dataclass(frozen=True, slots=True)
class Version:
    """One version: its number, the index of its entry, and where it came from. `digest` is of the whole
    configuration as of it; empty for those that an earlier release kept."""

    number: int
    index: int
    who: str
    why: str
    when_us: int
    steps: tuple[Step, ...]
    digest: str = ""


@dataclass(frozen=True, slots=True)
class _Made:
    """What a change would make of the configuration."""

    items: dict[str, Item]
    forms: dict[str, Listing]
    site: Site
    digest: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a change: the version it made, or 0 and why not. `problems` are those of the checks,
    `stale` the keys that were at another version, with it."""

    version: int
    why: str = ""
    problems: tuple[str, ...] = ()
    stale: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True)
class Machine:
    """The configuration as committed so far. `folder` is where paths in it count from."""

    folder: Path = field(default_factory=Path)
    number: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    forms: dict[str, Listing] = field(default_factory=dict)  # of the items: parsed once, not for each change
    history: deque[Version] = field(default_factory=lambda: deque(maxlen=MOST_HISTORY))
    site: Site | None = None
    digest: str = ""  # of all items, as `digest_of` has it; empty while there are none
    idents: dict[str, tuple[int, bytes]] = field(default_factory=dict)  # ident: its version, what was sent

    def tried(self, change: Change) -> Outcome:
        """What a change would do now: a dry run, and the check before it is proposed."""
        return self._work_out(change)[0]

    def apply(self, index: int, data: bytes) -> Outcome:
        """A committed change, in its order. One that does not pass is an outcome too, the same everywhere."""
        try:
            change = unpacked(data)
        except MalformedError as problem:
            return Outcome(0, "malformed", (str(problem),))
        known = self.idents.get(change.ident) if change.ident else None
        if known is not None:
            same = known[1] == _digest(change)
            return Outcome(known[0], "repeated") if same else Outcome(0, "ident-used-otherwise")
        outcome, made = self._work_out(change)
        if made is None:
            return outcome
        if change.ident:
            self.idents[change.ident] = (outcome.version, _digest(change))
            if len(self.idents) > MOST_IDENTS:
                del self.idents[next(iter(self.idents))]
        touched, items = sorted({*change.sets, *change.drops}), made.items
        steps = tuple(
            Step(key, self._text(self.items, key), self._text(items, key), self._place(items, key))
            for key in touched
            if self._text(self.items, key) != self._text(items, key)
        )
        self.number, self.items, self.forms = outcome.version, items, made.forms
        self.site, self.digest = made.site, made.digest
        version = Version(outcome.version, index, change.who, change.why, change.when_us, steps, made.digest)
        self.history.append(version)
        return outcome

    def _text(self, items: Mapping[str, Item], key: str) -> str | None:
        item = items.get(key)
        return None if item is None else item.text

    def _place(self, items: Mapping[str, Item], key: str) -> int:
        item = items.get(key)
        return 0 if item is None else item.place

    def _work_out(self, change: Change) -> tuple[Outcome, _Made | None]:
        stale = tuple(
            (key, self._at(key)) for key, wanted in sorted(change.needs.items()) if self._at(key) != wanted
        )
        if stale:
            # Guards against a change that was thought out on what is not there any more: it is not merged.
            return Outcome(0, "stale", stale=stale), None
        missing = tuple(key for key in change.drops if key not in self.items)
        if missing:
            return Outcome(0, "no-such-key", missing), None
        number, items, forms = self.number + 1, dict(self.items), dict(self.forms)
        problems: list[str] = []
        for key in sorted(change.drops):
            del items[key], forms[key]
        place = max((item.place for item in items.values()), default=0)
        for key, text in change.sets.items():
            place += 1
            held = items.get(key)
            try:
                item = Item(formed(key, text), number, place if held is None else held.place)
                items[key], forms[key] = item, form_of(key, item.text)
            except MalformedError as problem:
                problems.append(str(problem))
        size = sum(len(item.text) for item in items.values())
        if size > MOST_WHOLE:  # guards against a version that no front could read
            problems.append(f"{size} characters in all, {MOST_WHOLE} at most")
        if len(items) > MOST_KEYS:
            problems.append(f"{len(items)} keys, {MOST_KEYS} at most")
        if problems:
            return Outcome(0, "malformed", tuple(problems)), None
        if all(self._text(items, key) == self._text(self.items, key) for key in {*items, *self.items}):
            return Outcome(0, "changes-nothing"), None
        try:
            whole = assembled(items, forms)
            site = check([whole], "<configuration>", self.folder)
        except SettingsError as problem:
            told = tuple(f"{one.found}, expected {one.expected}" for one in problem.problems)
            return Outcome(0, "unusable", told), None
        return Outcome(number), _Made(items, forms, site, digest_of(whole))

    def _at(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item.version

    # Looking back

    def difference(self, old: int, new: int) -> list[Step]:
        """What changed from one version to another, by key. Raises KeyError where one is not kept any
        more."""
        first, second = self._as_of(old), self._as_of(new)
        return [
            Step(key, first.get(key), second.get(key))
            for key in sorted({*first, *second})
            if first.get(key) != second.get(key)
        ]

    def _as_of(self, number: int) -> dict[str, str]:
        """The texts at a version: today's, with later steps undone."""
        oldest = self.history[0].number - 1 if self.history else self.number
        if not oldest <= number <= self.number:
            raise KeyError(f"version {number}: {oldest} to {self.number} are kept")
        texts = {key: item.text for key, item in self.items.items()}
        for version in reversed(self.history):
            if version.number <= number:
                break
            for step in version.steps:
                if step.before is None:
                    texts.pop(step.key, None)
                else:
                    texts[step.key] = step.before
        return texts

    def rollback(self, number: int, who: str, why: str, when_us: int) -> Change:
        """The change that makes things as they were at a version: a new version like any other. It needs all
        that it touches to be as it is now. Raises KeyError."""
        steps = self.difference(self.number, number)
        return Change(
            who,
            why,
            when_us,
            {step.key: step.after for step in steps if step.after is not None},
            [step.key for step in steps if step.after is None],
            {step.key: self._at(step.key) for step in steps},
        )

    # Snapshots

    def state(self) -> bytes:
        """All of it, for a snapshot."""
        items = {key: [one.text, one.version, one.place] for key, one in sorted(self.items.items())}
        history = [msgspec.to_builtins(version) for version in self.history]
        idents = {ident: list(held) for ident, held in self.idents.items()}
        whole = {"number": self.number, "items": items, "history": history, "idents": idents}
        return msgspec.msgpack.encode(whole)

    def restore(self, data: bytes) -> None:
        """Take the place of all that was applied. Raises MalformedError."""
        try:
            raw: dict[str, Any] = msgspec.msgpack.decode(data, type=dict[str, Any])
            items = {k: Item(str(text), int(at), int(place)) for k, (text, at, place) in raw["items"].items()}
            history = msgspec.convert(raw["history"], list[Version])
            idents = {ident: (int(at), bytes(digest)) for ident, (at, digest) in raw["idents"].items()}
            forms = {key: form_of(key, item.text) for key, item in items.items()}
            whole = assembled(items, forms) if items else None
            site = check([whole], "<configuration>", self.folder) if whole is not None else None
        except (
            msgspec.MsgspecError,
            KeyError,
            TypeError,
            ValueError,
            SettingsError,
            MalformedError,
        ) as problem:
            raise MalformedError(f"a snapshot that can't be read: {problem}") from None
        self.number, self.items, self.forms, self.site = int(raw["number"]), items, forms, site
        self.digest = digest_of(whole) if whole is not None else ""
        self.history, self.idents = deque(history, maxlen=MOST_HISTORY), idents


def _digest(change: Change) -> bytes:
    """What two sendings of one change have in common: all but the moment."""
    same = msgspec.structs.replace(change, when_us=0)
    return xxhash.xxh3_128_digest(msgspec.msgpack.encode(same))


def packed(change: Change) -> bytes:
    return msgspec.msgpack.encode(change)


def unpacked(data: bytes) -> Change:
    """Raises MalformedError."""
    try:
        return msgspec.msgpack.decode(data, type=Change)
    except msgspec.MsgspecError as problem:
        raise MalformedError(f"a change that can't be read: {problem}") from None


def formed(key: str, text: str) -> str:
    """The text of an item as it is kept: one form, that its key names. Raises MalformedError."""
    return str(form_of(key, text))


def form_of(key: str, text: str) -> Listing:
    """The form of an item, that its key names. Raises MalformedError."""
    outer, _, inner = key.partition("/")
    if len(text) > MOST_TEXT:
        raise MalformedError(f"{key}: {len(text)} characters, {MOST_TEXT} at most")
    try:
        nodes = parse(text, key)
    except SettingsError as problem:
        raise MalformedError(f"{key}: {problem}") from None
    if len(nodes) != 1:
        raise MalformedError(f"{key}: {len(nodes)} forms, expected one")
    head = NESTED.get(outer, "") if inner else outer
    if nodes[0].head != head or not head:
        raise MalformedError(f"{key}: ({nodes[0].head} ...), expected ({head or outer} ...)")
    if inner and _own_name(nodes[0]) != inner:
        raise MalformedError(f"{key}: ({head} {_own_name(nodes[0])} ...), expected ({head} {inner} ...)")
    if not inner and outer in NESTED and any(_part(outer, node) for node in nodes[0].items):
        raise MalformedError(f"{key}: a ({NESTED[outer]} ...) in it, expected it under {outer}/NAME")
    return nodes[0]


def _part(outer: str, node: Node) -> bool:
    return isinstance(node, Listing) and node.head == NESTED.get(outer)


def _own_name(node: Listing) -> str:
    name = node.items[1] if len(node.items) > 1 else None
    return name.text if isinstance(name, Atom) else ""


def taken_apart(nodes: list[Listing]) -> dict[str, str]:
    """The items of a site file, so that one can begin from it. `site` has its name. Raises MalformedError."""
    if len(nodes) != 1 or nodes[0].head != "site":
        raise MalformedError("expected one (site ...)")
    items: dict[str, str] = {}
    rest: list[Node] = []
    for node in nodes[0].items[1:]:
        if not isinstance(node, Listing):
            rest.append(node)
            continue
        head = node.head
        parts = [part for part in node.items if _part(head, part)]
        for part in parts:
            assert isinstance(part, Listing)
            items[f"{head}/{_own_name(part)}"] = str(part)
        bare = Listing(tuple(part for part in node.items if not _part(head, part)), node.place)
        if len(bare.items) > 1 or not parts:
            if head in items:
                raise MalformedError(f"({head} ...) twice")
            items[head] = str(bare)
    items["site"] = str(Listing((word("site"), *rest), NOWHERE))
    return items


def assembled(items: Mapping[str, Item], forms: Mapping[str, Listing] | None = None) -> Listing:
    """The site file that the items make, in the order of their places; numbered parts by number. `forms` has
    the parsed form of each item where they are at hand."""
    top: dict[str, list[Node]] = {}
    names: list[Node] = [word("site")]
    for key in sorted(items, key=lambda key: (_number(key), items[key].place, key)):
        outer, _, inner = key.partition("/")
        [node] = parse(items[key].text, key) if forms is None else [forms[key]]
        if key == "site":
            names += node.items[1:]
        elif inner:
            top.setdefault(outer, [word(outer)]).append(node)
        else:
            top[outer] = [*node.items, *top.get(outer, [])[1:]]  # its own fields before its parts
    return Listing((*names, *(Listing(tuple(parts), NOWHERE) for parts in top.values())), NOWHERE)


def digest_of(listing: Listing) -> str:
    """What two copies of one state have in common: their forms, whichever comes first in the file. The order
    of parts within a form counts: service groups and tenants are known by it."""
    forms = sorted((node for node in listing.items if isinstance(node, Listing)), key=lambda node: node.head)
    names = tuple(node for node in listing.items if not isinstance(node, Listing))
    return xxhash.xxh3_64_hexdigest(str(Listing((*names, *forms), NOWHERE)))


def _number(key: str) -> int:
    """The number of a part that is named by one: front 10 follows front 9, whenever it was added."""
    inner = key.partition("/")[2]
    return int(inner) if inner.isdigit() else -1


def shown(items: Mapping[str, Item], forms: Mapping[str, Listing] | None = None) -> str:
    """The site file that the items make, a form a line."""
    whole = assembled(items, forms)
    lines = "".join(f"  {line}" for line in write(whole.items[2:]).splitlines(keepends=True))
    return f"(site {whole.items[1] if len(whole.items) > 1 else ''}\n{lines})\n"
