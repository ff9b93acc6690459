"""A generator of the decisions: yields actions, is resumed with what became of them."""

from collections.abc import Generator

from ponddoor.interface.actions import Action
from ponddoor.interface.events import Ended, Started, ViewerLeft

Resumed = Started | Ended | ViewerLeft | None
Script = Generator[Action, Resumed, None]
