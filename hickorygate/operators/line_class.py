"""Sorts the lines of the event log into classes with separate rate limits."""

from __future__ import annotations

import enum
import functools

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import takeover_steps
from hickorygate.operators import recent_commits

__all__ = ["LineClass", "line_class"]


class LineClass(enum.StrEnum):
    """The class of a line."""

    SERVED = "served"
    """Requests that succeeded."""
    FAILED = "failed"
    """Other events of single requests, sessions and connections."""
    CHANGE = "change"
    """Changes in the state of the process."""
    TAKEOVER = "takeover"
    """What replaced a primary, and on what knowledge."""


@functools.singledispatch
def line_class(event: events.Event) -> LineClass:
    """Returns the class of an event's line."""
    return LineClass.CHANGE


@line_class.register(platform_events.RequestEnded)
@line_class.register(platform_events.StatementForwarded)
def _(
    event: platform_events.RequestEnded | platform_events.StatementForwarded,
) -> LineClass:
    return LineClass.SERVED if event.outcome == "ok" else LineClass.FAILED


@line_class.register(platform_events.AnswerDiscarded)
@line_class.register(platform_events.CommitWithheld)
@line_class.register(platform_events.ConnectionUnsettled)
@line_class.register(platform_events.MessagesRejected)
@line_class.register(platform_events.ReadDiscarded)
@line_class.register(platform_events.RequestRetried)
@line_class.register(platform_events.SessionRevoked)
def _(event: events.Event) -> LineClass:
    return LineClass.FAILED


@line_class.register(takeover_steps.CandidateCompared)
@line_class.register(recent_commits.CommitsReported)
@line_class.register(platform_events.DutyLost)
@line_class.register(platform_events.DutyWon)
@line_class.register(platform_events.LeaderChanged)
@line_class.register(platform_events.LeaderLost)
@line_class.register(platform_events.MemberLeaving)
@line_class.register(platform_events.MemberListed)
@line_class.register(platform_events.MemberUnlisted)
@line_class.register(takeover_steps.PauseLost)
@line_class.register(platform_events.PromotionOrdered)
@line_class.register(takeover_steps.PromotionSent)
@line_class.register(takeover_steps.ReplicaAnswered)
@line_class.register(takeover_steps.ReplicaSilent)
@line_class.register(takeover_steps.TakeoverEnded)
@line_class.register(takeover_steps.TakeoverStarted)
def _(event: events.Event) -> LineClass:
    return LineClass.TAKEOVER
