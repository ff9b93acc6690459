"""The type of the generators that the decisions are written as.

A script yields actions and is resumed with the event that ended its wait, or with None: see
`ponddoor.interface.actions`."""

from collections.abc import Generator
from typing import TypeVar

from ponddoor.interface.actions import Action
from ponddoor.interface.events import Ended, PeerMessage, Started, ViewerLeft

ResumeValue = Started | Ended | ViewerLeft | PeerMessage | None
T = TypeVar("T")
Subscript = Generator[Action, ResumeValue, T]  # a part of a script that returns a value
Script = Subscript[None]
