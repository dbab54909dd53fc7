"""What the decisions ask of the adapter."""

from __future__ import annotations

import dataclasses

from hickorygate.proxies import member as members
from hickorygate.proxies import messages

__all__ = ["Closed", "Effect", "Joined", "Lost", "Send"]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message.

    Attributes:
      address: the receiver's inbox.
      message: without its header.
      name: of the receiver; empty for a seed not yet heard.
    """

    address: members.Address
    message: messages.Message
    name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Closed(Effect):
    """Close the connection to an address; the next message opens one."""

    address: members.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Joined(Effect):
    """A proxy became live."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Effect):
    """A proxy is no longer live."""

    member: members.Member
