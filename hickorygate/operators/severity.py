"""Determines the severity of each event for readers of the event log."""

from __future__ import annotations

import enum
import functools

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import takeover_steps

__all__ = ["Severity", "severity"]


class Severity(enum.StrEnum):
    """The severity of an event."""

    INFO = "info"
    """Part of normal operation."""
    NOTICE = "notice"
    """A change in the state of the process or of what it observes."""
    WARNING = "warning"
    """A fault, or a request whose outcome isn't known."""


@functools.singledispatch
def severity(event: events.Event) -> Severity:
    """Returns the severity of an event."""
    return Severity.NOTICE


@severity.register(platform_events.RequestEnded)
@severity.register(platform_events.StatementForwarded)
def _(
    event: platform_events.RequestEnded | platform_events.StatementForwarded,
) -> Severity:
    return Severity.WARNING if event.outcome == "unknown" else Severity.INFO


@severity.register(platform_events.ObjectsListed)
@severity.register(platform_events.RequestRetried)
def _(event: events.Event) -> Severity:
    return Severity.INFO


@severity.register(platform_events.SettingsReloaded)
def _(event: platform_events.SettingsReloaded) -> Severity:
    return Severity.WARNING if event.problem else Severity.NOTICE


@severity.register(events.TaskFailed)
@severity.register(platform_events.AnswerDiscarded)
@severity.register(platform_events.CallersClosed)
@severity.register(platform_events.CallersRejected)
@severity.register(platform_events.CatalogRejected)
@severity.register(platform_events.CommitWithheld)
@severity.register(platform_events.ConnectionUnsettled)
@severity.register(platform_events.DutyLost)
@severity.register(platform_events.EntryIgnored)
@severity.register(platform_events.LeaderLost)
@severity.register(platform_events.LinkLost)
@severity.register(platform_events.MessagesRejected)
@severity.register(takeover_steps.PauseLost)
@severity.register(platform_events.ReadDiscarded)
@severity.register(takeover_steps.ReplicaSilent)
@severity.register(platform_events.StoreLost)
@severity.register(platform_events.WatchFailed)
@severity.register(platform_events.WorkspacesIgnored)
def _(event: events.Event) -> Severity:
    return Severity.WARNING
