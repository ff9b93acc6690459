"""What fronts tell of the configuration that they have in force."""

import msgspec


class Report(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One front's word on what it has in force."""

    front: int
    life: int  # its start by the Unix clock, us
    number: int  # of this report in that life
    version: int  # in force; 0: none yet
    digest: str
    age_ms: int  # for how long it has been in force at the moment of telling
    head: int  # the newest version known
    refused: int = 0  # a newer version that this front can't use
    why: str = ""  # and why, 200 characters at most
    apart_ms: int = 0  # for how long it has heard of no instance that is not apart
