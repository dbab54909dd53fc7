"""Lends the connections of one database and keeps them few.

A connection carries the session values and prepared names that were last set
on it; a borrower gets one that matches its session where there is one.
"""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Mapping
import dataclasses
import datetime
import enum

import expression
import xxhash

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.upstreams import grade as grades
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import share as shares

__all__ = ["Lender", "Loan", "LoanResult", "Use", "shape_name"]

_NAMES_LIMIT = 256
"""Prepared names on one connection; beyond it they are cleared."""

_REOPEN_PAUSE = datetime.timedelta(milliseconds=100)
"""Between attempts to connect to a database that couldn't be reached."""


class Use(enum.Enum):
    """What a connection is borrowed for."""

    SHORT = "one statement"
    LONG = "a transaction, whose caller may pause"


def shape_name(shape: operations.Shape) -> str:
    """Returns the name under which a shape is prepared on connections."""
    text = f"{shape.writes} {shape.body}"
    return "h" + xxhash.xxh3_64_hexdigest(text.encode(errors="surrogateescape"))


class Loan:
    """A connection while one borrower has it."""

    __slots__ = ("_connection", "_lender", "_names", "_returned", "_values")

    def __init__(self, lender: Lender, connection: requests.Connection) -> None:
        self._lender = lender
        self._connection = connection
        self._values: dict[str, str] = {}
        self._names: set[str] = set()
        self._returned: datetime.datetime | None = None

    @property
    def connection(self) -> requests.Connection:
        """The connection itself."""
        return self._connection

    @property
    def lender(self) -> Lender:
        """Whose connection it is."""
        return self._lender

    @property
    def values(self) -> Mapping[str, str]:
        """The session values that are set on it."""
        return self._values

    @property
    def returned(self) -> datetime.datetime:
        """When it was last given back; only for one that was."""
        assert self._returned is not None, "never given back"
        return self._returned

    def rest(self, now: datetime.datetime) -> None:
        """Takes in that it is idle from now on."""
        self._returned = now

    def __repr__(self) -> str:
        return f"Loan({self._connection!r})"

    def forget_names(self) -> None:
        """Takes in that the database doesn't know the prepared names."""
        self._names.clear()

    async def run(self, request: requests.Request) -> requests.ReplyResult:
        """Sends one request and returns its reply."""
        return (await self._connection.ask(request))[0]

    async def match(
        self, values: Mapping[str, str], shape: operations.Shape | None
    ) -> errors.Failure | None:
        """Makes the connection's session equal to a caller's.

        Returns:
          The failure; the connection must then be closed.
        """
        batch: list[requests.Request] = []
        held, names = self._values, self._names
        if held.keys() - values.keys() or len(names) >= _NAMES_LIMIT:
            batch.append(requests.Reset())
            held, names = {}, set()
        batch += [
            requests.SetValue(name, value)
            for name, value in values.items()
            if held.get(name) != value
        ]
        name = shape_name(shape) if shape is not None else None
        if shape is not None and name is not None and name not in names:
            batch.append(requests.Prepare(name, shape))
            names = names | {name}
        if not batch:
            return None
        for result in await self._connection.ask(*batch):
            failure = requests.failure_of(result)
            if failure is not None:
                return failure
        self._values, self._names = dict(values), set(names)
        return None

    def end(self, broken: bool = False) -> None:
        """Gives it back; a broken one is closed."""
        if broken:
            self._connection.close()
        self._lender.take_back(self)


LoanResult = expression.Result[Loan, errors.Failure]


@dataclasses.dataclass(order=True, slots=True)
class _Waiting:
    rank: int
    deadline: datetime.datetime
    number: int
    use: Use = dataclasses.field(compare=False)
    future: asyncio.Future[LoanResult] = dataclasses.field(compare=False)


class Lender:
    """The connections to one database."""

    def __init__(
        self,
        member: members.Member,
        most: int,
        connector: requests.Connector,
        clock: clocks.Clock,
    ) -> None:
        self._member = member
        self._share = shares.Share(member.slots, most)
        self._connector = connector
        self._clock = clock
        self._idle: list[Loan] = []
        self._lent: set[Loan] = set()
        self._long: set[Loan] = set()
        self._opening = 0
        self._opened = 0
        self._waiting: list[_Waiting] = []
        self._numbers = 0
        self._refused_until: datetime.datetime | None = None
        self._last_failure: errors.Failure | None = None
        self._closed = False
        self._background = background.Background()
        self._grade = grades.Grade()
        self._permits = permit_lib.Permits(member.slots, clock)

    @property
    def member(self) -> members.Member:
        """Whose connections they are."""
        return self._member

    @property
    def permits(self) -> permit_lib.Permits:
        """Admission to the database."""
        return self._permits

    @property
    def grade(self) -> grades.Grade:
        """How often the database has failed lately."""
        return self._grade

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        held = [*self._idle, *self._lent]
        living = sum(not loan.connection.closed for loan in held)
        return living + self._opening

    @property
    def lent(self) -> int:
        """Connections that borrowers have."""
        return len(self._lent)

    @property
    def opened(self) -> int:
        """Connections that were opened since the start."""
        return self._opened

    @property
    def load(self) -> int:
        """Work that runs or waits for the database."""
        return self._permits.load + len(self._waiting)

    def __repr__(self) -> str:
        return f"Lender({self._member.id!r}, open={self.open})"

    def update(self, member: members.Member, most: int, proxies: int) -> None:
        """Takes in a changed entry, limit or number of proxies."""
        self._member = member
        self._share.set_most(most, proxies)
        self._permits.set_limit(shares.permits(member.slots, proxies))

    def trim(self) -> None:
        """Closes idle connections beyond this proxy's part of them."""
        now = self._clock.now()
        self._drop_closed()
        while self._idle and self.open > self._share.part:
            loan = self._idle[0]
            if now - loan.returned < self._share.idle_limit:
                return
            self._idle.pop(0)
            loan.connection.close()

    async def borrow(
        self,
        request: request_lib.Request,
        values: Mapping[str, str],
        use: Use = Use.SHORT,
    ) -> LoanResult:
        """Lends a connection; waits for one until the deadline.

        Args:
          request: who borrows, and until when.
          values: of the borrower's session.
          use: what for.
        """
        if self._closed:
            return expression.Error(self._unreachable("it left"))
        self._drop_closed()
        if self._idle and self._may_take(use):
            return expression.Ok(self._take_idle(values, use))
        if self._may_open():
            opened = await self._open(use)
            limited = opened.is_error() and _is_limit(opened.error)
            if not (limited and self.open):
                return opened
        if not self.open:
            return expression.Error(self._unreachable_again())
        return await self._wait(request, use)

    def take_back(self, loan: Loan) -> None:
        """Takes a loan in; hands it on to who waits."""
        self._lent.discard(loan)
        self._long.discard(loan)
        if self._closed:
            loan.connection.close()
            return
        if loan.connection.closed:
            self._pump()
            return
        self._hand_on(loan)

    def drop(self, reason: str) -> None:
        """Closes all connections, also lent ones."""
        for loan in [*self._idle, *self._lent]:
            loan.connection.close()
        self._idle.clear()
        self._fail_waiting(self._unreachable(reason))
        self._permits.close(self._unreachable(reason))

    def retire(self, reason: str) -> None:
        """Lends no more; connections close as they come back."""
        self._closed = True
        for loan in self._idle:
            loan.connection.close()
        self._idle.clear()
        self._fail_waiting(self._unreachable(reason))

    def _may_take(self, use: Use) -> bool:
        """Whether a connection may be lent for a use.

        The last one that isn't held for long serves single statements and
        questions to the database; without it this proxy would not know who
        leads.
        """
        if use is Use.SHORT or self._share.only_one:
            return True
        return len(self._idle) + len(self._lent) - len(self._long) > 1

    def _take_idle(self, values: Mapping[str, str], use: Use) -> Loan:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].values == values:
                loan = self._idle.pop(index)
                break
        else:
            loan = self._idle.pop()
        self._lend(loan, use)
        return loan

    def _lend(self, loan: Loan, use: Use) -> None:
        self._lent.add(loan)
        if use is Use.LONG:
            self._long.add(loan)

    def _may_open(self) -> bool:
        now = self._clock.now()
        if self._refused_until is not None and now < self._refused_until:
            return False
        return self.open < self._share.limit(now)

    async def _open(self, use: Use) -> LoanResult:
        self._opening += 1
        try:
            opened = await self._connector.open(self._member)
        finally:
            self._opening -= 1
        if opened.is_error():
            self._note_refusal(opened.error)
            return expression.Error(opened.error)
        self._opened += 1
        self._refused_until = None
        loan = Loan(self, opened.ok)
        if self._closed:
            opened.ok.close()
            return expression.Error(self._unreachable("it left"))
        self._lend(loan, use)
        return expression.Ok(loan)

    def _note_refusal(self, failure: errors.Failure) -> None:
        self._last_failure = failure
        now = self._clock.now()
        self._refused_until = now + _REOPEN_PAUSE
        if _is_limit(failure):
            self._share.refuse(self.open, now)
        if not self.open:
            self._fail_waiting(failure)

    async def _wait(self, request: request_lib.Request, use: Use) -> LoanResult:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[LoanResult] = loop.create_future()
        self._numbers += 1
        waiting = _Waiting(
            request.rank.order, request.deadline, self._numbers, use, future
        )
        bisect.insort(self._waiting, waiting)
        left = request.time_left(self._clock.now()).total_seconds()
        timer = loop.call_later(left, self._expire, waiting, request)
        try:
            return await future
        except asyncio.CancelledError:
            if (
                future.done()
                and not future.cancelled()
                and future.result().is_ok()
            ):
                self.take_back(future.result().ok)
            raise
        finally:
            timer.cancel()
            self._forget(waiting)

    def _expire(self, waiting: _Waiting, request: request_lib.Request) -> None:
        if waiting.future.done():
            return
        waited = self._clock.now() - request.arrived
        failure = errors.DeadlinePassed(request.rank.name, waited)
        waiting.future.set_result(expression.Error(failure))

    def _forget(self, waiting: _Waiting) -> None:
        """Removes one who waits no more."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def _hand_on(self, loan: Loan) -> None:
        """Gives a connection to the first who may have it."""
        self._idle.append(loan)
        loan.rest(self._clock.now())
        for waiting in self._waiting:
            if not waiting.future.done() and self._may_take(waiting.use):
                self._idle.pop()
                self._forget(waiting)
                self._lend(loan, waiting.use)
                waiting.future.set_result(expression.Ok(loan))
                return
        self._pump()

    def _pump(self) -> None:
        """Opens a connection for who waits, if one may be opened."""
        if self._waiting and self._may_open():
            self._background.start(self._open_for_waiting())

    async def _open_for_waiting(self) -> None:
        opened = await self._open(Use.SHORT)
        if opened.is_ok():
            self._lent.discard(opened.ok)
            self._hand_on(opened.ok)

    def _fail_waiting(self, failure: errors.Failure) -> None:
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            if not one.future.done():
                one.future.set_result(expression.Error(failure))

    def _drop_closed(self) -> None:
        self._idle = [x for x in self._idle if not x.connection.closed]

    def _unreachable(self, reason: str) -> errors.ConnectFailed:
        return errors.ConnectFailed(self._member.id, reason)

    def _unreachable_again(self) -> errors.Failure:
        return self._last_failure or self._unreachable("tried a moment ago")


def _is_limit(failure: errors.Failure) -> bool:
    """Whether the database has no connection left for this proxy."""
    match failure:
        case replies.Rejection(reason=replies.Reason.CONNECTION_LIMIT):
            return True
    return False
