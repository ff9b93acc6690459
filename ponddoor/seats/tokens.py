"""Seat tokens: JSON Web Tokens (RFC 7519), signed with HS256.

A token is bound to a tenant, entitlement, viewer, session and generation. It states what its front granted;
only that front knows whether the seat is still held."""

from dataclasses import dataclass

import jwt

ALGORITHM = "HS256"
ISSUER = "ponddoor"


class TokenError(Exception):
    """A token that must not be trusted; `code` is an error code of the protocol."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


@dataclass(frozen=True, slots=True)
class Token:
    """The claims of a token. `front` is the front that granted it, `expires_us` is by the wall clock."""

    tenant: str
    entitlement: str
    viewer: str
    sess: str
    seat: str
    generation: int
    front: int
    expires_us: int


def encode_token(token: Token, key: bytes) -> str:
    """The signed JSON Web Token of these claims."""
    claims = {
        "iss": ISSUER,
        "sub": token.viewer,
        "aud": token.tenant,
        "ent": token.entitlement,
        "sid": token.sess,
        "seat": token.seat,
        "gen": token.generation,
        "front": token.front,
        "exp": token.expires_us / 1_000_000,
    }
    return jwt.encode(claims, key, ALGORITHM)


def decode_token(text: str, key: bytes) -> Token:
    """The claims of a signed token.

    An expired token is decoded as well: its front decides whether the seat still runs. Raises TokenError with
    the code forged-token or malformed-token."""
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
