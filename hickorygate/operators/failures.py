"""Failures of operators' commands."""

from __future__ import annotations

import dataclasses

from hickorygate.core import errors

__all__ = [
    "PromiseBroken",
    "ProxyUnreachable",
    "SheetsDiffer",
    "ShutdownCutShort",
    "UsageError",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownCutShort(errors.Failure):
    """A second signal ended a graceful shutdown before it was done."""

    callers: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"a second signal cut the shutdown short with {self.callers} "
            "callers connected; send one and wait to cut no request"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyUnreachable(errors.Failure):
    """A proxy's admin port doesn't answer."""

    address: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"no answer from the admin port {self.address}: {self.reason}; "
            "check the address and that the proxy runs"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SheetsDiffer(errors.Failure):
    """Not all proxies have the same sheet in force."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            "the proxies' sheets differ; ask again in a few seconds, then "
            "look at the log of the proxy that stays behind"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseBroken(errors.Failure):
    """A demonstration found writes that were lost, doubled or not read."""

    count: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"{self.count} writes were lost, doubled, ran though refused, or "
            "were not read by their own session; report it with this output"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class UsageError(errors.Failure):
    """The command line can't be used."""

    command: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.command}: {self.reason}"
