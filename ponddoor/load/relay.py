"""A bare relay on the front's own stack: the same HTTP exchanges, a server by chance, no decisions, no state
but where a session is. It is what a front's decisions and care are measured against."""

import random
import secrets

import msgspec

from ponddoor.front.servers import SetupAnswer
from ponddoor.front.viewers import SessionAsk
from ponddoor.web.client import BrokenError, LateError, NotSentError, Pool
from ponddoor.web.server import HttpError, Reply, Request, decode_json_body


class Relay:
    """Passes requests for sessions on to one of some servers."""

    def __init__(self, servers: list[tuple[str, int]]) -> None:
        self.pools = [Pool(host, port, 256) for host, port in servers]
        self.where: dict[str, Pool] = {}

    async def handle(self, request: Request) -> Reply:
        match request.method, request.path:
            case "POST", ("sessions",):
                return await self.ask(decode_json_body(request.body, SessionAsk))
            case "DELETE", ("sessions", sess):
                pool = self.where.pop(sess, None)
                if pool is None:
                    raise HttpError(404, "no-such-session", sess)
                await pool.request("DELETE", f"/setups/{sess}/0")
                return Reply(204)
            case _:
                raise HttpError(404, "no-such-resource", "/".join(request.path)[:100])

    async def ask(self, ask: SessionAsk) -> Reply:
        pool, sess = random.choice(self.pools), secrets.token_hex(12)
        body = {"sess": sess, "front": 0, "epoch": 0, "attempt": 0, "title": ask.title, "group": 0, "rung": 0,
                "top": ask.top, "timeout_us": 1_000_000, "attach_us": 60_000_000}  # fmt: skip
        try:
            answer = await pool.request("POST", "/setups", body)
            started = msgspec.json.decode(answer.body, type=SetupAnswer).result == "started"
        except (NotSentError, BrokenError, LateError, msgspec.MsgspecError):
            started = False
        if not started:
            return Reply(502, {"session": sess, "state": "torn-down"})
        self.where[sess] = pool
        server = f"{pool.host}:{pool.port}"
        body = {"session": sess, "state": "playing", "server": server, "rung": 0}
        return Reply(201, body, (("Location", f"/sessions/{sess}"),))
