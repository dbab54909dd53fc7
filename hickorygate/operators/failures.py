"""Failures of the command-line commands."""

from __future__ import annotations

import dataclasses

from hickorygate.core import errors

__all__ = [
    "GuaranteeViolated",
    "ProxyUnreachable",
    "SheetsDiffer",
    "ShutdownInterrupted",
    "UsageError",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownInterrupted(errors.Failure):
    """A second signal ended a graceful shutdown before it was complete.

    Attributes:
      callers: callers that were still connected.
    """

    callers: int

    @property
    def message(self) -> str:
        """Human-readable description, with what to do about the failure."""
        return (
            f"a second signal cut the shutdown short with {self.callers} "
            "callers connected; send one and wait to cut no request"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyUnreachable(errors.Failure):
    """The admin port of a proxy sent no valid answer.

    Attributes:
      address: admin address of the proxy.
      reason: description of the error.
    """

    address: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable description, with what to do about the failure."""
        return (
            f"no answer from the admin port {self.address}: {self.reason}; "
            "check the address and that the proxy runs"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SheetsDiffer(errors.Failure):
    """The versions of the sheet in force differ between proxies."""

    @property
    def message(self) -> str:
        """Human-readable description, with what to do about the failure."""
        return (
            "the proxies' sheets differ; ask again in a few seconds, then "
            "look at the log of the proxy that stays behind"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteeViolated(errors.Failure):
    """The demo found writes that violate the guarantees to callers.

    Such a write was lost, duplicated, executed although it was refused, or
    missing from a later read of its own session.

    Attributes:
      count: number of such writes.
    """

    count: int

    @property
    def message(self) -> str:
        """Human-readable description, with what to do about the failure."""
        return (
            f"{self.count} writes were lost, doubled, ran though refused, or "
            "were not read by their own session; report it with this output"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class UsageError(errors.Failure):
    """The command line is invalid.

    Attributes:
      command: name of the command, command family or flag.
      reason: description of the error.
    """

    command: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable description of the failure."""
        return f"{self.command}: {self.reason}"
