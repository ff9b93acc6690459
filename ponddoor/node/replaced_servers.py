"""Finds the servers of the list that have gone because a newer one has their address.

The list tells of the new server and of the end of the old one in any order, seconds apart. Meanwhile requests
for the old server would reach the new one.

Source: the platform's protocol page ("A new server may have the address of one that has gone")."""

from dataclasses import dataclass, field

import msgspec

from ponddoor.front.roster import Entry, ListMessage


@dataclass(slots=True)
class ReplacedServers:
    """The newest server at each address that the list has named."""

    _newest: dict[str, Entry] = field(default_factory=dict)
    _addresses: dict[int, str] = field(default_factory=dict)  # of the newest ones, by their number

    def complete(self, message: ListMessage) -> ListMessage:
        """The message, in which a server is gone too if one that started later has its address."""
        if message.since is None and not message.beat:
            self._newest, self._addresses = {}, {}
        replaced = dict[int, Entry]()
        for entry in message.servers:
            self._forget(entry.server)
            if entry.state != "gone" and (older := self._note(entry)) is not None:
                replaced[older.server] = msgspec.structs.replace(older, state="gone")
        if not replaced:
            return message
        entries = [replaced.pop(entry.server, entry) for entry in message.servers]
        return msgspec.structs.replace(message, servers=[*entries, *replaced.values()])

    def _forget(self, server: int) -> None:
        address = self._addresses.pop(server, None)
        if address is not None:
            del self._newest[address]

    def _note(self, entry: Entry) -> Entry | None:
        """Note an entry; returns the one that is replaced, which may be this one."""
        known = self._newest.get(entry.address)
        if known is not None and known.started_us >= entry.started_us:
            # Servers that started long ago all have the same start time: none of them replaces another
            return entry if known.started_us > entry.started_us else None
        self._newest[entry.address] = entry
        self._addresses[entry.server] = entry.address
        if known is not None:
            self._addresses.pop(known.server, None)
        return known
