"""The codecs of hints: what is written reads back the same, and malformed input costs only itself."""

from typing import Any

import pytest
from http_sf import Token
from hypothesis import given, settings
from hypothesis import strategies as st

from ponddoor.hints import cmcd, cmsd
from ponddoor.hints.fields import Bounds, TypedValue, read_dictionary
from ponddoor.hints.keys import CMCD_KEYS, CMSD_DYNAMIC_KEYS, CMSD_STATIC_KEYS, Header, Key, Kind

TEXT = st.text(st.characters(min_codepoint=0x20, max_codepoint=0x7E), min_size=1, max_size=40)
OBJECT_TYPES = st.sampled_from(["", "v", "a", "av"])
TABLES: list[dict[str, Key]] = [CMCD_KEYS, CMSD_STATIC_KEYS, CMSD_DYNAMIC_KEYS]


def items(key: Key) -> st.SearchStrategy[Any]:
    match key.kind:
        case Kind.INTEGER:
            return st.integers(0, 10**9).map(lambda n: n * key.rounding_step)
        case Kind.DECIMAL:
            return st.integers(0, 100_000).map(lambda n: n / 1000)
        case Kind.BOOLEAN:
            return st.booleans()
        case Kind.STRING:
            return TEXT
        case Kind.TOKEN:
            return st.sampled_from(key.tokens)


def key_values(key: Key) -> st.SearchStrategy[Any]:
    if not key.allows_list:
        return items(key)
    members = st.builds(TypedValue, items(key), OBJECT_TYPES)
    return items(key) | st.lists(members, min_size=1, max_size=4).map(tuple)


def valid_values(keys: dict[str, Key]) -> st.SearchStrategy[dict[str, Any]]:
    """Values as a sender may send them: without those that absence implies."""
    known = st.fixed_dictionaries({}, optional={name: key_values(key) for name, key in keys.items()})
    custom_name = st.from_regex(r"com\.[a-z]{1,8}-[A-Za-z]{1,8}", fullmatch=True)
    custom = st.dictionaries(custom_name, st.integers(0, 999) | st.booleans() | TEXT, max_size=2)
    return st.tuples(known, custom).map(
        lambda parts: {
            **{
                name: value
                for name, value in parts[0].items()
                if value != keys[name].omitted_value or type(value) is not type(keys[name].omitted_value)
            },
            **parts[1],
        }
    )


WIDE_BOUNDS = Bounds(100_000, 200)


@given(valid_values(CMCD_KEYS))
def test_every_cmcd_carrier_reads_back_what_was_written(values: dict[str, Any]) -> None:
    headers = {name.lower(): text for name, text in cmcd.write_headers(values).items()}
    assert cmcd.read_headers(headers, WIDE_BOUNDS).values == values
    assert cmcd.read_query("a=1&" + cmcd.write_query(values) + "&b=2", WIDE_BOUNDS).values == values
    assert cmcd.read_json(cmcd.write_json(values), WIDE_BOUNDS).values == values


@given(
    valid_values({name: key for name, key in CMCD_KEYS.items() if name != "e"}),
    st.sampled_from(CMCD_KEYS["e"].tokens),
)
def test_reports_read_back_what_was_written(values: dict[str, Any], event: str) -> None:
    reports = [{**values, "e": event}, {"e": "t"}]
    reports_read, read = cmcd.read_reports(cmcd.write_reports(reports), WIDE_BOUNDS)
    assert reports_read == reports and not read.lost


def with_lower_case_names(values: dict[str, Any]) -> dict[str, Any]:
    return {name.lower(): value for name, value in values.items()}


@given(
    valid_values(CMSD_STATIC_KEYS),
    st.lists(
        st.builds(cmsd.Hop, TEXT, valid_values(CMSD_DYNAMIC_KEYS).map(with_lower_case_names)), max_size=5
    ),
)
def test_cmsd_reads_back_what_was_written(values: dict[str, Any], hops: list[cmsd.Hop]) -> None:
    assert cmsd.read_static(cmsd.write_static(values), WIDE_BOUNDS).values == values
    hops_read, read = cmsd.read_dynamic(cmsd.write_dynamic(hops), WIDE_BOUNDS)
    assert hops_read == hops and not read.lost


@given(st.text(max_size=200) | st.binary(max_size=200).map(lambda raw: raw.decode("latin-1")))
@settings(max_examples=300)
def test_reading_any_text_raises_nothing_and_values_read_can_be_written(text: str) -> None:
    for keys in TABLES:
        read = read_dictionary(text, keys, WIDE_BOUNDS)
        assert not text.strip() or read.values or read.lost
    kept = cmcd.read_headers({"cmcd-request": text}).values
    assert cmcd.read_headers({k.lower(): v for k, v in cmcd.write_headers(kept).items()}).values is not None
    cmcd.read_query(text)
    cmcd.read_json(text.encode())
    cmcd.read_reports(text.encode())
    cmsd.write_dynamic(cmsd.read_dynamic(text)[0])


JSON_LEAVES = st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=9)


@given(
    st.recursive(
        JSON_LEAVES, lambda child: st.lists(child, max_size=3) | st.dictionaries(st.text(max_size=3), child)
    )
)
def test_reading_any_json_raises_nothing(members: Any) -> None:
    cmcd.read_members(members)
    cmcd.read_members({"br": members, "mtp": [members], "x-y": members})


MALFORMED = [
    ("bl=21300,mtp=fast,su", {"bl": 21300, "su": True}, {"wrong-type": 1}),
    ("bl=21300,mtp=,dl=100", {"bl": 21300, "dl": 100}, {"malformed-key": 1}),
    ("bl=-5,mtp=1000", {"mtp": 1000}, {"out-of-range": 1}),
    ("ot=x,sf=d", {"sf": "d"}, {"unknown-token": 1}),
    ('cid="' + "x" * 65 + '",sf=d', {"sf": "d"}, {"too-long": 1}),
    ("bl=1,zz=3", {"bl": 1, "zz": 3}, {"unknown-key": 1}),
    ("com.Example-aKey=3,bl=1", {"com.Example-aKey": 3, "bl": 1}, {}),
    ('nor="a,b\\"c",bl=1,(', {"nor": 'a,b"c', "bl": 1}, {"malformed-key": 1}),
    ("dl=(1 2)", {}, {"wrong-type": 1}),
    ('br=(1;v "x")', {"br": (TypedValue(1, "v"),)}, {"wrong-type": 1}),
    ("bl=1, bl=2", {"bl": 2}, {"key-twice": 1}),
    ("x-b=:YWJj:,bl=1", {"bl": 1}, {"unusable-custom": 1}),
]


@pytest.mark.parametrize(("text", "values", "lost"), MALFORMED)
def test_a_malformed_key_costs_only_that_key(text: str, values: dict[str, Any], lost: dict[str, int]) -> None:
    read = read_dictionary(text, CMCD_KEYS, Bounds())
    assert (read.values, read.lost) == (values, lost)


def test_bounds_are_enforced_and_the_excess_is_counted() -> None:
    assert read_dictionary("a-b=1," * 1000, CMCD_KEYS, Bounds()).lost == {"too-long": 1}
    many_keys = ",".join(f"k-{n}=1" for n in range(70))
    read = read_dictionary(many_keys, CMCD_KEYS, Bounds())
    assert len(read.values) == 64 and read.lost == {"too-many-keys": 6}
    assert read_dictionary(f"br=({'1 ' * 40})", CMCD_KEYS, Bounds()).lost == {"list-too-long": 1}
    reports, read = cmcd.read_reports(b"\n".join([b"e=t"] * 120))
    assert len(reports) == 100 and read.lost == {"too-many-reports": 20}
    hops, read = cmsd.read_dynamic(",".join(f'"h{n}";mb=1' for n in range(20)))
    assert len(hops) == 16 and read.lost == {"too-many-hops": 4}


def test_a_key_with_conflicting_values_is_lost_and_keys_in_the_wrong_header_are_read() -> None:
    headers = {"cmcd-request": "mtp=1000,bl=200", "cmcd-session": "v=2,tb=900"}
    read = cmcd.read_request(headers, "mtp=9000,bl=200", {"sf": "d"})
    assert read.values == {"bl": 200, "v": 2, "tb": 900, "sf": "d"}
    assert read.lost == {"carriers-disagree": 1, "wrong-header": 1}
    assert cmcd.read_query("CMCD=bl%3D1&CMCD=bl%3D2").lost == {"argument-twice": 1}


def test_values_are_rounded_implied_values_left_out_and_unwritable_ones_refused() -> None:
    values = {"bl": 21_349, "mtp": 25_451, "dl": 50, "d": 4004, "bs": False, "pr": 1.0, "v": 1, "sf": "h"}
    assert cmcd.write_headers(values) == {
        "CMCD-Object": "d=4004",
        "CMCD-Request": "bl=21300,dl=100,mtp=25500",
        "CMCD-Session": "sf=h",
    }
    with pytest.raises(ValueError, match="no capitals"):
        cmsd.write_dynamic([cmsd.Hop("a", {"x-A": 1})])
    for unwritable in ({"sf": "\n"}, {"com.a-b": object()}, {"no key": 1}, {"cid": "\u00e9"}):
        with pytest.raises(ValueError, match="can't be written"):
            cmcd.write_headers(unwritable)
    with pytest.raises(ValueError, match="needs its event"):
        cmcd.write_reports([{"bl": 1}])


def test_an_intermediary_appends_its_entry_and_keeps_those_that_it_can_read() -> None:
    text = cmsd.append_hop('"origin";etp=96;du;x-own=3, 5', cmsd.Hop("front", {"mb": 2500}))
    assert text == '"origin";du;etp=96;x-own=3,"front";mb=2500'
    assert cmsd.append_hop(None, cmsd.Hop("front")) == '"front"'


def test_the_main_value_of_a_list_is_that_of_video_else_the_first() -> None:
    assert cmcd.main_value((TypedValue(128, "a"), TypedValue(900, "v"))) == 900
    assert cmcd.main_value((TypedValue(128, "a"),)) == 128 and cmcd.main_value(7) == 7


def test_every_key_has_a_cmcd_header_and_a_custom_token_stays_a_token() -> None:
    assert {key.header for key in CMCD_KEYS.values()} == set(
        cmcd.HEADERS
    ) and Header.STATIC not in cmcd.HEADERS
    read = cmcd.read_headers({"cmcd-status": "x-mode=fast"})
    assert read.values == {"x-mode": Token("fast")}
    assert cmcd.write_headers(read.values) == {"CMCD-Session": "x-mode=fast"}
