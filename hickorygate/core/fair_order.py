"""Orders waiting requests fairly between workspaces, without I/O.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) with equal weights: each
workspace has a virtual time, which the service time of each of its requests
advances. The workspace with the lowest virtual time goes first. One that
starts to wait begins at the virtual time of the request served last, so it
neither saves up unused service nor pays for what it used while nobody waited.
Within a workspace, the earliest deadline goes first; with one workspace, this
is the whole order.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import math
from typing import Generic
from typing import Protocol
from typing import TypeVar

from hickorygate.core import types

__all__ = ["FairOrder", "Orderable"]

_MAX_IDLE_FLOWS = 64
"""Number of workspaces without waiting requests that are remembered at most."""


class Orderable(Protocol):
    """A waiting request."""

    @property
    def workspace(self) -> types.WorkspaceName:
        """Workspace of the request; empty if it has none."""

    @property
    def order(self) -> tuple[object, ...]:
        """Sort key within the workspace."""


_T = TypeVar("_T", bound=Orderable)


def _order(item: Orderable) -> tuple[object, ...]:
    return item.order


class _Flow(Generic[_T]):
    """The waiting requests of one workspace.

    Attributes:
      items: waiting requests in the order of their keys.
      start: virtual time at which the next one starts.
    """

    __slots__ = ("items", "start")

    def __init__(self, start: float) -> None:
        self.items: list[_T] = []
        self.start = start


class FairOrder(Generic[_T]):
    """The waiting requests of all workspaces."""

    __slots__ = ("_count", "_flows", "_virtual")

    def __init__(self) -> None:
        self._flows: dict[types.WorkspaceName, _Flow[_T]] = {}
        self._virtual = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, item: object) -> bool:
        return any(item in flow.items for flow in self._flows.values())

    def __iter__(self) -> Iterator[_T]:
        """Iterates over the requests, workspace by workspace."""
        for flow in self._flows.values():
            yield from flow.items

    def __repr__(self) -> str:
        return f"FairOrder({self._count} waiting, {len(self._flows)} flows)"

    @property
    def workspaces(self) -> int:
        """Number of workspaces with waiting requests."""
        return sum(bool(flow.items) for flow in self._flows.values())

    @property
    def first(self) -> _T:
        """Request that goes first; there must be one."""
        return self._first_flow().items[0]

    @property
    def heads(self) -> list[_T]:
        """First request of each workspace."""
        return [flow.items[0] for flow in self._flows.values() if flow.items]

    def add(self, item: _T) -> None:
        """Adds a request."""
        flow = self._flows.get(item.workspace)
        if flow is None:
            flow = self._flows[item.workspace] = _Flow(self._virtual)
        if not flow.items:
            flow.start = max(flow.start, self._virtual)
        bisect.insort(flow.items, item, key=_order)
        self._count += 1

    def pop_first(self, cost: float) -> _T:
        """Removes and returns the request that goes first.

        Args:
          cost: expected service time; `charge` corrects it later.
        """
        flow = self._first_flow()
        self._count -= 1
        self._virtual = max(self._virtual, flow.start)
        flow.start += cost
        item = flow.items.pop(0)
        if not self._count:
            # Nobody waits, so that all workspaces start anew.
            self._virtual = max(f.start for f in self._flows.values())
            self._flows.clear()
        elif len(self._flows) > self._count + _MAX_IDLE_FLOWS:
            self._forget_idle()
        return item

    def remove(self, item: _T) -> None:
        """Removes a request, which must be waiting."""
        self._flows[item.workspace].items.remove(item)
        self._count -= 1

    def clear(self) -> list[_T]:
        """Removes and returns all requests."""
        items = list(self)
        for flow in self._flows.values():
            flow.items.clear()
        self._count = 0
        return items

    def charge(self, workspace: types.WorkspaceName, cost: float) -> None:
        """Adds to the service that a workspace has got; may be negative."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.start += cost

    def ahead(self, item: _T, cost: float, added: int = 0) -> int:
        """Returns the number of requests that go before a request.

        Args:
          item: request; it may be waiting or not.
          cost: expected service time of each request.
          added: number of requests to assume before it in its workspace, in
            addition to those that wait.
        """
        own = self._flows.get(item.workspace)
        if own is None:
            own = _Flow(self._virtual)
        index = added + bisect.bisect_left(own.items, item.order, key=_order)
        if self._count == len(own.items):
            return index
        start = self._start(own) + index * cost
        total = index
        for flow in self._flows.values():
            if flow is not own and flow.items:
                total += self._started_before(flow, start, item, cost)
        return total

    def behind_in_workspace(self, item: _T) -> list[_T]:
        """Returns the requests of the same workspace behind a request."""
        own = self._flows.get(item.workspace)
        if own is None:
            return []
        index = bisect.bisect_right(own.items, item.order, key=_order)
        return own.items[index:]

    def last_of_longest(self) -> _T:
        """Returns the last request of the workspace with most of them."""
        longest = max(self._flows.values(), key=lambda flow: len(flow.items))
        return longest.items[-1]

    def last_where(self, test: Callable[[_T], bool]) -> _T | None:
        """Returns a request that fulfils a condition, or None.

        Of several it is the last one of the workspace whose turn is latest.
        """
        flows = [flow for flow in self._flows.values() if flow.items]
        for flow in sorted(flows, key=self._start, reverse=True):
            for item in reversed(flow.items):
                if test(item):
                    return item
        return None

    def _start(self, flow: _Flow[_T]) -> float:
        """Returns the virtual time at which the next request starts."""
        return flow.start if flow.items else max(flow.start, self._virtual)

    def _started_before(
        self, flow: _Flow[_T], start: float, item: _T, cost: float
    ) -> int:
        """Returns how many requests of a flow start before a virtual time."""
        if flow.start == start:
            return int(flow.items[0].order < item.order)
        if cost <= 0:
            return len(flow.items) if flow.start < start else 0
        count = math.ceil((start - flow.start) / cost)
        return min(max(count, 0), len(flow.items))

    def _first_flow(self) -> _Flow[_T]:
        if len(self._flows) == 1:
            return next(iter(self._flows.values()))
        return min(
            (flow for flow in self._flows.values() if flow.items),
            key=lambda flow: (flow.start, flow.items[0].order),
        )

    def _forget_idle(self) -> None:
        """Forgets workspaces whose virtual time says nothing any more."""
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.items or flow.start > self._virtual
        }
