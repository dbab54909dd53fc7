"""Effects: what the decision code asks the I/O adapter to do."""

from __future__ import annotations

import dataclasses

from hickorygate.proxies import member as members
from hickorygate.proxies import messages

__all__ = ["CloseConnection", "Effect", "ReportJoined", "ReportLost", "Send"]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message.

    Attributes:
      address: address of the receiver.
      message: message without its header.
      name: name of the receiver; may be empty for a seed that hasn't sent a
        packet yet.
    """

    address: members.Address
    message: messages.Message
    name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection(Effect):
    """Close the connection to an address.

    The next message to the address opens a new connection.

    Attributes:
      address: address of the proxy.
    """

    address: members.Address


@dataclasses.dataclass(frozen=True, slots=True)
class ReportJoined(Effect):
    """Report that a proxy became live.

    Attributes:
      member: record of the proxy.
    """

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLost(Effect):
    """Report that a proxy is no longer live.

    Attributes:
      member: record of the proxy.
    """

    member: members.Member
