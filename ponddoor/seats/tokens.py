"""Seat tokens: JSON Web Tokens (RFC 7519), signed with HS256 by PyJWT, bound to tenant, entitlement, viewer,
session and generation. A token says what its front granted; whether the seat still is, that front alone
knows."""

from dataclasses import dataclass

import jwt

ALGORITHM = "HS256"
ISSUER = "ponddoor"


class TokenError(Exception):
    """A token that is not to be trusted; `code` is a word of the protocol."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


@dataclass(frozen=True, slots=True)
class Token:
    """What a token says. `expires` is the wall clock in microseconds; `front` granted it."""

    tenant: str
    entitlement: str
    viewer: str
    sess: str
    seat: str
    generation: int
    front: int
    expires: int


def encode_token(token: Token, key: bytes) -> str:
    """The signed text of a token."""
    claims = {
        "iss": ISSUER,
        "sub": token.viewer,
        "aud": token.tenant,
        "ent": token.entitlement,
        "sid": token.sess,
        "seat": token.seat,
        "gen": token.generation,
        "front": token.front,
        "exp": token.expires / 1_000_000,
    }
    return jwt.encode(claims, key, ALGORITHM)


def decode_token(text: str, key: bytes) -> Token:
    """What a token says, if its signature holds. An expired one is opened as well: the seat's front answers
    it.

    Raises TokenError forged-token or malformed-token."""
    try:
        claims = jwt.decode(
            text, key, [ALGORITHM], options={"verify_exp": False, "verify_aud": False}, issuer=ISSUER
        )
        return Token(
            str(claims["aud"]),
            str(claims["ent"]),
            str(claims["sub"]),
            str(claims["sid"]),
            str(claims["seat"]),
            int(claims["gen"]),
            int(claims["front"]),
            round(float(claims["exp"]) * 1_000_000),
        )
    except jwt.InvalidSignatureError:
        raise TokenError("forged-token") from None
    except (jwt.PyJWTError, KeyError, ValueError, TypeError, OverflowError):
        raise TokenError("malformed-token") from None
