"""A generator of the decisions: yields actions, is resumed with what became of them."""

from collections.abc import Generator

from ponddoor.interface.actions import Action
from ponddoor.interface.events import Ended, PeerMessage, Started, ViewerLeft

ResumeValue = Started | Ended | ViewerLeft | PeerMessage | None
Script = Generator[Action, ResumeValue, None]
