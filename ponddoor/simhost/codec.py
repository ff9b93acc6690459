"""Decodes the simulator's binary frames to events, and encodes actions.

The codes of the wire occur only in this module."""

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ponddoor.interface import actions as act
from ponddoor.interface import events as ev
from ponddoor.interface import facts as fx
from ponddoor.platform.facts import MalformedError, ms_to_us, site_facts


@dataclass(frozen=True, slots=True)
class Boot:
    """An instance starts."""

    facts: fx.SiteFacts


@dataclass(frozen=True, slots=True)
class Killed:
    """An instance was killed and has lost all its state."""


_RESULTS = {
    100: ev.Result.SERVED,
    301: ev.Result.ERROR,
    302: ev.Result.FULL,
    303: ev.Result.TIMEOUT,
    304: ev.Result.CONNECT_FAILED,
    305: ev.Result.RESET,
    306: ev.Result.CANCELLED,
    307: ev.Result.MOOT,
}
_ALL_PEERS = 0xFFFFFFFF
_ROW = struct.Struct(">IHHHBfd")
_REQUEST = struct.Struct(">IHHQQddfffB")
_RECORD = struct.Struct(">HI")
_LENGTH_HINT_FLAG, _MOVED_FLAG, _AGAIN_FLAG = 1, 8, 16


class _Fields:
    """Reads the fields of one record, one after another. Raises MalformedError if it is too short."""

    def __init__(self, body: bytes, description: str) -> None:
        self._body, self._offset, self._description = body, 0, description

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        """The next fields, of a fixed layout."""
        end = self._offset + layout.size
        if end > len(self._body):
            raise MalformedError(f"{self._description}: fields need {end} bytes, got {len(self._body)}")
        values = layout.unpack_from(self._body, self._offset)
        self._offset = end
        return values

    def blob(self, size: int) -> bytes:
        """The next `size` bytes."""
        end = self._offset + size
        if end > len(self._body):
            raise MalformedError(f"{self._description}: fields need {end} bytes, got {len(self._body)}")
        data = self._body[self._offset : end]
        self._offset = end
        return data


_U8, _U16, _U32 = struct.Struct(">B"), struct.Struct(">H"), struct.Struct(">I")
_NOTE, _STARTED = struct.Struct(">IfBHI"), struct.Struct(">IdHI")
_RETURNED, _STATUS = struct.Struct(">IIHHBd"), struct.Struct(">IdH")
_BOOT, _FLEET = struct.Struct(">QI"), struct.Struct(">BQB")


class Reader:
    """Decodes batches. Keeps the server lists by number and the report fields of each instance."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[ev.ServerRow, ...]] = {}
        self._report_fields: dict[int, tuple[str, ...]] = {}

    def decode_batch(self, body: bytes, count: int) -> Iterator[tuple[int, Boot | Killed | ev.Event]]:
        """Yields each event with the number of its instance, in order. Their time is in the batch header.

        Raises MalformedError."""
        offset, front = 0, None
        for _ in range(count):
            if offset + _RECORD.size > len(body):
                raise MalformedError(
                    f"record header cut short: got {len(body) - offset} of {_RECORD.size} bytes"
                )
            code, size = _RECORD.unpack_from(body, offset)
            offset += _RECORD.size
            if offset + size > len(body):
                raise MalformedError(
                    f"record of code {code} cut short: got {len(body) - offset} of {size} bytes"
                )
            fields = _Fields(body[offset : offset + size], f"record of code {code}")
            offset += size
            if code == 10:
                (front,) = fields.take(_U32)
            elif code == 12:
                self._read_list(fields)
            elif front is None:
                raise MalformedError(f"record of code {code} before a record that names the instance")
            else:
                yield front, self._event(front, code, fields)
        if offset != len(body):
            raise MalformedError(f"{len(body) - offset} bytes after the last record")

    def _read_list(self, fields: _Fields) -> None:
        (number,) = fields.take(_U8)
        rows = []
        for _ in range(fields.take(_U32)[0]):
            server, zone, kind, cell, state, weight, started = fields.take(_ROW)
            if state not in (0, 1, 2):
                raise MalformedError(f"unknown server state {state}, expected 0, 1 or 2")
            rows.append(
                ev.ServerRow(server, zone, kind, cell, ev.ServerState(state), weight, ms_to_us(started))
            )
        self._lists[number] = tuple(rows)

    def _event(self, front: int, code: int, fields: _Fields) -> Boot | Killed | ev.Event:
        match code:
            case 5:
                seed, size = fields.take(_BOOT)
                facts, report_fields = site_facts(seed, fields.blob(size))
                self._report_fields[front] = report_fields
                return Boot(facts)
            case 11:
                return Killed()
            case 13:
                scope, _, number = fields.take(_FLEET)
                if scope not in (0, 1, 2, 3):
                    raise MalformedError(f"unknown scope {scope} of a server list change, expected 0 to 3")
                if scope == 3:
                    return ev.ServerNews(ev.NewsScope.FAILED)
                if number not in self._lists:
                    raise MalformedError(f"unknown server list {number}")
                return ev.ServerNews(ev.NewsScope(scope), self._lists[number])
            case 4:
                return _request(fields)
            case 8:
                request = _request(fields)
                return ev.HandedOver(request, fields.take(_U32)[0])
            case 6:
                req_id, value, kind, _, server = fields.take(_NOTE)
                if kind not in (1, 2, 3, 4):
                    raise MalformedError(f"unknown note kind {kind}, expected 1 to 4")
                return ev.Note(req_id, ev.NoteKind(kind), value, server)
            case 3:
                req_id, lag, attempt, server = fields.take(_STARTED)
                return ev.Started(req_id, attempt, server, ms_to_us(lag))
            case 9:
                req_id, server, result, attempt, final, lag = fields.take(_RETURNED)
                return ev.Ended(
                    req_id,
                    attempt,
                    server,
                    _result(result),
                    bool(final),
                    ms_to_us(lag),
                    self._report(front, fields),
                )
            case 2:
                server, lag, result = fields.take(_STATUS)
                return ev.Probed(server, ms_to_us(lag), _result(result), self._report(front, fields))
            case 7:
                return ev.ViewerLeft(fields.take(_U32)[0])
            case 1:
                return ev.TimerDue(fields.take(_U32)[0])
            case 14:
                peer, size = *fields.take(_U16), *fields.take(_U16)
                return ev.PeerMessage(peer, fields.blob(size))
            case _:
                raise MalformedError(f"unknown event code {code}")

    def _report(self, front: int, fields: _Fields) -> dict[str, float]:
        (size,) = fields.take(_U8)
        values = fields.take(struct.Struct(f">{size}f"))
        return dict(zip(self._report_fields.get(front, ()), values, strict=False))


def _result(code: int) -> ev.Result:
    if code not in _RESULTS:
        raise MalformedError(f"unknown result code {code}")
    return _RESULTS[code]


def _request(fields: _Fields) -> ev.SessionRequest:
    req_id, group, tenant, key, title, time_left, length_hint, home, span, top, flags = fields.take(_REQUEST)
    if not all(map(math.isfinite, (home, span, top))):
        raise MalformedError(f"request {req_id}: home {home}, span {span} or top {top} is not finite")
    return ev.SessionRequest(
        req_id,
        group,
        tenant,
        key,
        title,
        ms_to_us(time_left),
        ms_to_us(length_hint) if flags & _LENGTH_HINT_FLAG else None,
        int(home),
        int(span),
        int(top),
        bool(flags & _MOVED_FLAG),
        bool(flags & _AGAIN_FLAG),
    )


def encode_actions(front: int, actions: list[act.Action]) -> bytes:
    """The records for the actions of one instance, in order."""
    return _record(15, _U32.pack(front)) + b"".join(map(_action, actions)) if actions else b""


def encode_internal_error(front: int, text: str) -> bytes:
    """The records that report an internal error in the decisions of one instance."""
    return _record(15, _U32.pack(front)) + _record(10, _blob(text.encode()[:500]))


def encode_reply(records: bytes) -> bytes:
    """A reply of these records, with its length before them."""
    return _U32.pack(len(records)) + records


def _record(code: int, body: bytes = b"") -> bytes:
    return _RECORD.pack(code, len(body)) + body


def _blob(data: bytes) -> bytes:
    return _U16.pack(len(data)) + data


def _action(action: act.Action) -> bytes:
    match action:
        case act.Setup(req_id, server, timeout):
            return _record(1, struct.pack(">IdI", req_id, timeout / 1000, server))
        case act.BusyReply(req_id, come_back):
            return _record(2, struct.pack(">Id", req_id, come_back / 1000))
        case act.TearDown(req_id):
            return _record(3, _U32.pack(req_id))
        case act.Cancel(req_id, attempt):
            return _record(4, struct.pack(">IH", req_id, attempt))
        case act.SetTimer(due, cookie):
            return _record(5, struct.pack(">dI", due / 1000, cookie))
        case act.Probe(server):
            return _record(6, _U32.pack(server))
        case act.CloseIdle(server):
            return _record(7, _U32.pack(server))
        case act.SendPeerMessage(peer, payload):
            return _record(8, _U32.pack(_ALL_PEERS if peer is None else peer) + _blob(payload))
        case act.Log(text):
            return _record(9, _blob(text.encode()[:500]))
        case act.Watch(active):
            return _record(11, _U8.pack(active))
        case act.FetchServers():
            return _record(12)
        case act.SetRung(req_id, rung):
            return _record(13, struct.pack(">IB", req_id, rung))
        case act.Move(req_id):
            return _record(14, _U32.pack(req_id))
        case act.Play() | act.Wait() | act.WaitForPeerMessage() | act.Wake():
            raise TypeError(f"{action} is for the runtime and has no code on the simulator's wire")
