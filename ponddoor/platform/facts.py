"""Reads and writes the platform's settings, a JSON object, as the facts that a front gets at its start.

The keys and values of the settings occur only in this module."""

import json
import math
from typing import Any

from ponddoor.interface import facts as fx


class MalformedError(Exception):
    """The settings or messages of the platform are not valid; the text says what is wrong."""


_EFFECTS = {"repeatable": fx.Effect.SAFE, "by_key": fx.Effect.KEYED, "once": fx.Effect.UNSAFE}
_REPORTING = {"inline": fx.Reporting.INLINE, "on_probe": fx.Reporting.ON_PROBE, "off": fx.Reporting.OFF}
_REPORT_FIELDS = {
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
    """Milliseconds of the platform as whole microseconds. Raises MalformedError unless they are finite."""
    if not math.isfinite(ms):
        raise MalformedError(f"time of {ms} ms is not finite")
    return round(ms * 1000)


def report_field_name(name: str) -> str:
    """Our name for a value of a load report."""
    return _REPORT_FIELDS.get(name, name)


def site_facts(seed: int, text: bytes) -> tuple[fx.SiteFacts, tuple[str, ...]]:
    """The facts in the settings, and the names of the values in a load report. Raises MalformedError."""
    try:
        return _facts(seed, json.loads(text))
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
        raise MalformedError(f"unusable settings: {problem!r}") from problem


def zone_and_kind_names(text: bytes) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """The names of the zones and of the kinds of server, by their numbers. Raises MalformedError."""
    try:
        raw = json.loads(text)
        return tuple(map(str, raw["localities"])), tuple(map(str, raw["skus"]))
    except (ValueError, KeyError, TypeError) as problem:
        raise MalformedError(f"unusable settings: {problem!r}") from problem


def _effect(semantics: str) -> fx.Effect:
    if semantics not in _EFFECTS:
        raise MalformedError(f"unknown semantics {semantics!r}, expected one of {', '.join(_EFFECTS)}")
    return _EFFECTS[semantics]


def _check_group(group: fx.ServiceGroup, rungs: int) -> None:
    """Raises MalformedError for terms that no session can meet: they would be violated or nobody served."""
    highest = min(group.top, rungs - 1)
    if not 0 <= group.floor <= highest:
        raise MalformedError(
            f"group {group.name}: floor {group.floor} is not in 0 to {highest}, its top rung"
        )
    if group.seats < 0:
        raise MalformedError(
            f"group {group.name}: {group.seats} seats, expected 0 (seats are not counted) or more"
        )


def _facts(seed: int, raw: dict[str, Any]) -> tuple[fx.SiteFacts, tuple[str, ...]]:
    specifics, safety, permissions, prices = (
        raw["specifics"],
        raw["safety"],
        raw["permissions"],
        raw["prices"],
    )
    groups = tuple(
        fx.ServiceGroup(
            name=lane["name"],
            start_target=ms_to_us(lane["aim"]),
            setup_timeout=ms_to_us(lane["deadline"]),
            utility=lane["value"],
            effect=_effect(lane["semantics"]),
            scope=fx.Scope(lane.get("group", "all")),
            memory=ms_to_us(lane.get("memorySpan", 0)),
            floor=specifics["floorByClass"][i],
            top=specifics["classTop"][i],
            seats=specifics["classSeats"][i],
            live=specifics["live"][i],
            rate_factor=specifics["rateFactor"][i],
        )
        for i, lane in enumerate(raw["lanes"])
    )
    for group in groups:
        _check_group(group, len(specifics["rungKb"]))
    names = tuple(map(report_field_name, raw["reporting"]["fields"]))
    spare_setups = safety.get("spareAttempts")
    resend_ratio = safety.get("resendRatio")
    limited = bool(safety.get("ratioSpan")) and (spare_setups is not None or resend_ratio is not None)
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
            fx.Tenant(account["name"], account["quotaPerS"], account["share"])
            for account in raw.get("accounts", ())
        ),
        ladder=fx.Ladder(
            tuple(specifics["rungKb"]),
            tuple(specifics["ladderWorth"]),
            specifics["changeCostsS"],
            specifics["shortfallCost"],
            specifics.get("join", 1.0),
        ),
        plant=fx.Plant(
            cells=specifics["positions"],
            racks=specifics["groups"],
            kb_per_weight=specifics["kbPerWeight"],
            uplink_kb=specifics["rackKb"],
            streams=tuple(specifics["kindStreams"]),
            refuse_at=specifics.get("guard", 0.0),
            note_delay=ms_to_us(specifics.get("toldLate", 0)),
            note_every=ms_to_us(specifics.get("tell", 0)),
        ),
        rules=fx.Rules(
            cold=ms_to_us(safety["cold"]),
            cold_from=safety["coldFrom"],
            drain_grace=ms_to_us(safety["drainGrace"]),
            fall_multiple=safety["fallMultiple"],
            fall=ms_to_us(safety["fall"]),
            answer_grace=ms_to_us(safety["graceToAnswer"]),
            ask_every=ms_to_us(safety.get("askEvery", 0)),
            spare_setups=int(spare_setups or 0) if limited else None,
            resend_ratio=resend_ratio or 0.0,
            resend_span=ms_to_us(safety.get("ratioSpan", 0)),
        ),
        permissions=fx.Permissions(
            probes=permissions["probes"],
            messages=permissions["mayTell"],
            cancel=permissions["cancelling"],
            max_attempts=permissions["maxAttempts"],
            come_back=permissions["retryAfter"],
            max_come_back=ms_to_us(permissions["maxRetryAfter"]),
            connect_timeout=ms_to_us(permissions["connectTimeout"]),
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
    """The settings for these facts: `site_facts` reads the same facts from them, except the seed."""
    effects, reporting = ({value: key for key, value in table.items()} for table in (_EFFECTS, _REPORTING))
    report_fields = {ours: theirs for theirs, ours in _REPORT_FIELDS.items()}
    rules, permissions, plant, ladder = facts.rules, facts.permissions, facts.plant, facts.ladder
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
                      "fields": [report_fields.get(name, name) for name in facts.report_fields]},
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
            "probes": permissions.probes, "mayTell": permissions.messages, "cancelling": permissions.cancel,
            "maxAttempts": permissions.max_attempts, "retryAfter": permissions.come_back,
            "maxRetryAfter": permissions.max_come_back / 1000,
            "connectTimeout": permissions.connect_timeout / 1000},
        "prices": {"crossZone": facts.prices.cross_zone, "probe": facts.prices.probe,
                   "peer": facts.prices.message, "moves": facts.prices.move},
    }  # fmt: skip
