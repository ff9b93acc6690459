"""One front's view of the fleet for display: fronts, groups, servers, budget shares, with ages and bounds."""

from typing import Any

from ponddoor.fleet.view import Fleet
from ponddoor.interface.seeded_random import LONG_AGO


def shown(fleet: Fleet, servers: list[int]) -> dict[str, Any]:
    """The body of GET /fleet. Ages and times are in milliseconds, rates in kB/s.

    `life` is an incarnation; the `keepers` of a group are its owners, and it is `whole` if it is synced."""
    now, presence = fleet.now, fleet.presence
    fronts = {
        str(front): {
            "stands": presence.state_of(front).value,
            "life": presence.incarnation_of(front),
            "heard_ms_ago": _age_ms(now, member.heard_at),
            "accused_by": sorted(member.accusers),
        }
        for front, member in presence.members.items()
    }
    groups = {
        str(group): {
            "keepers": list(fleet.owners(group)),
            "whole": fleet.is_synced(group),
            "lent_to_us": len(fleet.shares.lenders_of(now, group)),
            "own_part_free": fleet.shares.may_use_own(now, group),
        }
        for group in fleet.groups
    }
    rows: dict[str, Any] = {}
    for server in servers:
        summary = fleet.evidence.summary(now, server, fleet.me)
        bounds = fleet.counts.bounds(now, server, fleet.terms.timing.max_suspicion)
        rows[str(server)] = {
            "asked_by_others": {
                "least": bounds.least,
                "likely": bounds.likely,
                "most": bounds.most,
                "oldest_ms": bounds.oldest_age // 1000,
            },
            "against": summary.witnesses_against,
            "failed": summary.failed,
            "tries": summary.tries,
            "failed_ms_ago": _age_ms(now, summary.failed_at),
            "well_ms_ago": _age_ms(now, summary.succeeded_at),
        }
    return {
        "me": fleet.me,
        "life": presence.incarnation,
        "hears": presence.connectivity(now).value,
        "reach": presence.ack_ratio(),
        "live": presence.live_count(),
        "quiet_keepers": sorted(fleet.silent_owners),
        "fronts": fronts,
        "groups": groups,
        "servers": rows,
        "granted": fleet.shares.granted,
        "fenced": fleet.shares.fenced,
        "words_refused": fleet.counts.refused,
    }


def differences(first: dict[str, Any], second: dict[str, Any]) -> list[str]:
    """Compares the views of two fronts; returns a line for each difference."""
    lines: list[str] = []
    first_name, second_name = f"front {first['me']}", f"front {second['me']}"
    for front in sorted(first["fronts"].keys() | second["fronts"].keys(), key=int):
        states = [view["fronts"].get(front, {}).get("stands", "itself") for view in (first, second)]
        if states[0] != states[1] and "itself" not in states:
            lines.append(f"front {front}: {states[0]} to {first_name}, {states[1]} to {second_name}")
    for group in first["groups"].keys() & second["groups"].keys():
        owners = [view["groups"][group]["keepers"] for view in (first, second)]
        if owners[0] != owners[1]:
            lines.append(
                f"owners of group {group}: {owners[0]} to {first_name}, {owners[1]} to {second_name}"
            )
    for server in sorted(first["servers"].keys() & second["servers"].keys(), key=int):
        against = [view["servers"][server]["against"] for view in (first, second)]
        if against[0] != against[1]:
            lines.append(
                f"server {server}: {against[0]} witnesses against it to {first_name}, "
                f"{against[1]} to {second_name}"
            )
    return lines


def _age_ms(now: int, at: int) -> int | None:
    return None if at == LONG_AGO else (now - at) // 1000
