"""What one front believes of the fleet, for people: fronts, servers, parts, counts, with ages and bounds."""

from typing import Any

from ponddoor.fleet.view import Fleet
from ponddoor.interface.chance import LONG_AGO


def shown(fleet: Fleet, servers: list[int]) -> dict[str, Any]:
    """All of it, as JSON has it. Ages and times in milliseconds, rates in kB a second."""
    now, presence = fleet.now, fleet.presence
    fronts = {
        str(front): {
            "stands": presence.state_of(front).value,
            "life": presence.incarnation_of(front),
            "heard_ms_ago": _age(now, member.heard_at),
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
        view = fleet.evidence.summary(now, server, fleet.me)
        bounds = fleet.counts.bounds(now, server, fleet.terms.timing.max_suspicion)
        rows[str(server)] = {
            "asked_by_others": {
                "least": bounds.least,
                "likely": bounds.likely,
                "most": bounds.most,
                "oldest_ms": bounds.oldest_age // 1000,
            },
            "against": view.witnesses_against,
            "failed": view.failed,
            "tries": view.tries,
            "failed_ms_ago": _age(now, view.failed_at),
            "well_ms_ago": _age(now, view.succeeded_at),
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


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """Where two fronts believe different things, a line each."""
    found: list[str] = []
    a, b = f"front {one['me']}", f"front {other['me']}"
    for front in sorted(one["fronts"].keys() | other["fronts"].keys(), key=int):
        said = [view["fronts"].get(front, {}).get("stands", "itself") for view in (one, other)]
        if said[0] != said[1] and "itself" not in said:
            found.append(f"front {front}: {said[0]} to {a}, {said[1]} to {b}")
    for group in one["groups"].keys() & other["groups"].keys():
        keepers = [view["groups"][group]["keepers"] for view in (one, other)]
        if keepers[0] != keepers[1]:
            found.append(f"keepers of group {group}: {keepers[0]} to {a}, {keepers[1]} to {b}")
    for server in sorted(one["servers"].keys() & other["servers"].keys(), key=int):
        against = [view["servers"][server]["against"] for view in (one, other)]
        if against[0] != against[1]:
            found.append(f"server {server}: {against[0]} speak against it to {a}, {against[1]} to {b}")
    return found


def _age(now: int, at: int) -> int | None:
    return None if at == LONG_AGO else (now - at) // 1000
