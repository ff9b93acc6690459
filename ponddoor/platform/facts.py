"""The platform's settings, a JSON object, as what a front is told at its start. Its words live only here."""

import json
import math
from typing import Any

from ponddoor.interface import facts as fx


class MalformedError(Exception):
    """The input does not follow the wire."""


_EFFECTS = {"repeatable": fx.Effect.SAFE, "by_key": fx.Effect.KEYED, "once": fx.Effect.UNSAFE}
_REPORTING = {"inline": fx.Reporting.INLINE, "on_probe": fx.Reporting.ON_PROBE, "off": fx.Reporting.OFF}
_FIELDS = {
    "rif": "streams",
    "q": "waiting",
    "busy": "util",
    "lat_ms": "setup_ms",
    "rate": "setups_per_s",
    "fail_rate": "failed_per_s",
    "x0": "link_asked",
    "x1": "uplink_asked",
}


def ms_to_us(ms: float) -> int:
    """The wire's milliseconds as whole microseconds."""
    if not math.isfinite(ms):
        raise MalformedError(f"a time of {ms}")
    return round(ms * 1000)


def report_field_name(name: str) -> str:
    """What we call a value of a load report."""
    return _FIELDS.get(name, name)


def site_facts(seed: int, text: bytes) -> tuple[fx.SiteFacts, tuple[str, ...]]:
    """The settings as facts, and the names of the values in a load report. Raises MalformedError."""
    try:
        return _facts(seed, json.loads(text))
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
        raise MalformedError(f"unusable settings: {problem!r}") from problem


def zone_and_kind_names(text: bytes) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The zones and the kinds of server by their numbers. Raises MalformedError."""
    try:
        raw = json.loads(text)
        return tuple(map(str, raw["localities"])), tuple(map(str, raw["skus"]))
    except (ValueError, KeyError, TypeError) as problem:
        raise MalformedError(f"unusable settings: {problem!r}") from problem


def _effect(word: str) -> fx.Effect:
    if word not in _EFFECTS:
        raise MalformedError(f"an effect of {word!r}; there are {', '.join(_EFFECTS)}")
    return _EFFECTS[word]


def _possible(group: fx.ServiceGroup, rungs: int) -> None:
    """Guards against terms that no session can keep: a front with them would break one or serve nobody."""
    most = min(group.top, rungs - 1)
    if not 0 <= group.floor <= most:
        raise MalformedError(f"group {group.name}: floor {group.floor}, its highest rung is {most}")
    if group.seats < 0:
        raise MalformedError(f"group {group.name}: {group.seats} seats; 0 means that they are not counted")


def _facts(seed: int, raw: dict[str, Any]) -> tuple[fx.SiteFacts, tuple[str, ...]]:
    fam, safety, allow, prices = raw["specifics"], raw["safety"], raw["permissions"], raw["prices"]
    groups = tuple(
        fx.ServiceGroup(
            name=lane["name"],
            start_target=ms_to_us(lane["aim"]),
            setup_timeout=ms_to_us(lane["deadline"]),
            utility=lane["value"],
            effect=_effect(lane["semantics"]),
            scope=fx.Scope(lane.get("group", "all")),
            memory=ms_to_us(lane.get("memorySpan", 0)),
            floor=fam["floorByClass"][i],
            top=fam["classTop"][i],
            seats=fam["classSeats"][i],
            live=fam["live"][i],
            rate_factor=fam["rateFactor"][i],
        )
        for i, lane in enumerate(raw["lanes"])
    )
    for group in groups:
        _possible(group, len(fam["rungKb"]))
    names = tuple(map(report_field_name, raw["reporting"]["fields"]))
    spare = safety.get("spareAttempts")
    share = safety.get("resendRatio")
    limited = bool(safety.get("ratioSpan")) and (spare is not None or share is not None)
    facts = fx.SiteFacts(
        me=raw["me"],
        fronts=raw["balancers"],
        zone=raw["zone"],
        seed=seed,
        asked_discovery=raw["discovery"] == "on_request",
        reporting=_REPORTING[raw["reporting"]["how"]],
        report_fields=names,
        over_share_utility=raw.get("overShareWorth", 1.0),
        groups=groups,
        tenants=tuple(
            fx.Tenant(unit["name"], unit["quotaPerS"], unit["share"]) for unit in raw.get("accounts", ())
        ),
        ladder=fx.Ladder(
            tuple(fam["rungKb"]),
            tuple(fam["ladderWorth"]),
            fam["changeCostsS"],
            fam["shortfallCost"],
            fam.get("join", 1.0),
        ),
        plant=fx.Plant(
            cells=fam["positions"],
            racks=fam["groups"],
            kb_per_weight=fam["kbPerWeight"],
            uplink_kb=fam["rackKb"],
            streams=tuple(fam["kindStreams"]),
            refuse_at=fam.get("guard", 0.0),
            note_delay=ms_to_us(fam.get("toldLate", 0)),
            note_every=ms_to_us(fam.get("tell", 0)),
        ),
        rules=fx.Rules(
            cold=ms_to_us(safety["cold"]),
            cold_from=safety["coldFrom"],
            drain_grace=ms_to_us(safety["drainGrace"]),
            fall_multiple=safety["fallMultiple"],
            fall=ms_to_us(safety["fall"]),
            answer_grace=ms_to_us(safety["graceToAnswer"]),
            ask_every=ms_to_us(safety.get("askEvery", 0)),
            spare_setups=int(spare or 0) if limited else None,
            resend_ratio=share or 0.0,
            resend_span=ms_to_us(safety.get("ratioSpan", 0)),
        ),
        permissions=fx.Permissions(
            probes=allow["probes"],
            messages=allow["mayTell"],
            cancel=allow["cancelling"],
            max_attempts=allow["maxAttempts"],
            come_back=allow["retryAfter"],
            max_come_back=ms_to_us(allow["maxRetryAfter"]),
            connect_timeout=ms_to_us(allow["connectTimeout"]),
        ),
        prices=fx.Prices(
            cross_zone=prices["crossZone"],
            probe=prices["probe"],
            message=prices["peer"],
            move=prices["moves"],
        ),
    )
    return facts, names


def as_settings(facts: fx.SiteFacts, zones: tuple[str, ...], kinds: tuple[str, ...]) -> dict[str, Any]:
    """The settings that would tell these facts: `site_facts` reads the same from it, but for the seed."""
    effects, reporting = ({kind: word for word, kind in words.items()} for words in (_EFFECTS, _REPORTING))
    fields = {ours: theirs for theirs, ours in _FIELDS.items()}
    rules, allow, plant, ladder = facts.rules, facts.permissions, facts.plant, facts.ladder
    safety: dict[str, Any] = {
        "cold": rules.cold / 1000,
        "coldFrom": rules.cold_from,
        "drainGrace": rules.drain_grace / 1000,
        "fallMultiple": rules.fall_multiple,
        "fall": rules.fall / 1000,
        "askEvery": rules.ask_every / 1000,
        "graceToAnswer": rules.answer_grace / 1000,
    }
    if rules.spare_setups is not None:
        safety |= {
            "spareAttempts": rules.spare_setups,
            "resendRatio": rules.resend_ratio,
            "ratioSpan": rules.resend_span / 1000,
        }
    return {
        "me": facts.me, "balancers": facts.fronts, "zone": facts.zone, "localities": zones, "skus": kinds,
        "discovery": "on_request" if facts.asked_discovery else "pushed",
        "reporting": {"how": reporting[facts.reporting],
                      "fields": [fields.get(name, name) for name in facts.report_fields]},
        "overShareWorth": facts.over_share_utility,
        "lanes": [{"name": g.name, "aim": g.start_target / 1000, "deadline": g.setup_timeout / 1000,
                   "value": g.utility, "semantics": effects[g.effect], "group": g.scope.value,
                   "memorySpan": g.memory / 1000} for g in facts.groups],
        "accounts": [{"name": t.name, "quotaPerS": t.quota_per_s, "share": t.share} for t in facts.tenants],
        "specifics": {
            "floorByClass": [g.floor for g in facts.groups], "classTop": [g.top for g in facts.groups],
            "classSeats": [g.seats for g in facts.groups], "live": [g.live for g in facts.groups],
            "rateFactor": [g.rate_factor for g in facts.groups], "rungKb": ladder.rate_kb,
            "ladderWorth": ladder.utility, "changeCostsS": ladder.switch_cost_s,
            "shortfallCost": ladder.short_cost, "join": ladder.join, "positions": plant.cells,
            "groups": plant.racks, "kbPerWeight": plant.kb_per_weight, "rackKb": plant.uplink_kb,
            "kindStreams": plant.streams, "guard": plant.refuse_at, "toldLate": plant.note_delay / 1000,
            "tell": plant.note_every / 1000},
        "safety": safety,
        "permissions": {
            "probes": allow.probes, "mayTell": allow.messages, "cancelling": allow.cancel,
            "maxAttempts": allow.max_attempts, "retryAfter": allow.come_back,
            "maxRetryAfter": allow.max_come_back / 1000, "connectTimeout": allow.connect_timeout / 1000},
        "prices": {"crossZone": facts.prices.cross_zone, "probe": facts.prices.probe,
                   "peer": facts.prices.message, "moves": facts.prices.move},
    }  # fmt: skip
