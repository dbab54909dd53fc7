"""What proxies tell each other about one of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Annotated

import pydantic
import xxhash

from hickorygate.core import types

__all__ = ["Address", "Incarnation", "Member", "Name", "State"]

Name = Annotated[
    types.ProxyName,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$"),
]
Address = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[0-9A-Za-z_.:\[\]-]{3,120}$")
]
Incarnation = Annotated[int, pydantic.Field(ge=0, lt=2**62)]


class State(enum.IntEnum):
    """How sure the fleet is of a proxy; higher wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A proxy.

    Attributes:
      name: unique in the fleet.
      address: `host:port` of its inbox.
      admin: `host:port` where operators reach it.
      zone: availability zone.
      incarnation: raised by the proxy itself to refute a suspicion.
      state: as its teller sees it.
    """

    name: Name
    address: Address
    admin: Address
    zone: Name
    incarnation: Incarnation
    state: State = State.ALIVE

    @property
    def live(self) -> bool:
        """Whether it is not known to be dead."""
        return self.state is not State.DEAD

    @property
    def digest(self) -> int:
        """A hash of what all proxies should agree on; 0 for a dead one."""
        if not self.live:
            return 0
        return xxhash.xxh64_intdigest(
            f"{self.name} {self.incarnation}".encode()
        )

    def supersedes(self, other: Member) -> bool:
        """Whether this is later knowledge than the other."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )
