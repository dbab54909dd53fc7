"""The record that proxies exchange about a member of the fleet."""

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
_MAX_PORT = 65_535


def _check_port(address: str) -> str:
    """Returns an address of the form `host:port` if its port is valid.

    Raises:
      ValueError: the port is out of range.
    """
    port = int(address.rpartition(":")[2])
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return address


Address = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^([0-9A-Za-z_.-]{1,100}|\[[0-9A-Fa-f:.]{2,50}\]):[0-9]{1,5}$"
    ),
    pydantic.AfterValidator(_check_port),
]
Incarnation = Annotated[int, pydantic.Field(ge=0, lt=2**62)]


class State(enum.IntEnum):
    """Liveness state of a proxy.

    Within one incarnation, the higher state takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What is known of a proxy.

    Attributes:
      name: name of the proxy, unique in the fleet.
      address: `host:port` of the proxy's socket for incoming packets.
      admin: `host:port` where operators reach the proxy.
      zone: availability zone of the proxy.
      incarnation: number that only the proxy itself increments, to refute a
        suspicion.
      state: state of the proxy according to the sender of the record.
    """

    name: Name
    address: Address
    admin: Address
    zone: Name
    incarnation: Incarnation
    state: State = State.ALIVE

    @property
    def live(self) -> bool:
        """Whether the proxy is alive or suspect."""
        return self.state is not State.DEAD

    @property
    def digest(self) -> int:
        """Hash of the fields on which all proxies should agree.

        The hash covers name and incarnation. It is 0 for a dead proxy.
        """
        if not self.live:
            return 0
        return xxhash.xxh64_intdigest(
            f"{self.name} {self.incarnation}".encode()
        )

    def supersedes(self, other: Member) -> bool:
        """Whether this record is newer than another record of the same proxy.

        Args:
          other: record to compare with.
        """
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )
