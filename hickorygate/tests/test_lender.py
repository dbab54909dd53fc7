"""Tests the connection pool of one database."""

from __future__ import annotations

import asyncio
import datetime
import unittest

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import member as members
from hickorygate.upstreams import prober as probers
from hickorygate.upstreams import request as requests

_MEMBER = members.Member("a", 1, "s", "10.0.0.1", 1, "z", 2, False, True)


class _Connection:
    """A connection that answers each request with success."""

    def __init__(self) -> None:
        self.closed = False
        self.state = replies.SessionState.IDLE
        self.sent: list[requests.Request] = []

    async def ask(self, *batch: requests.Request) -> list[requests.ReplyResult]:
        self.sent += batch
        done = replies.Reply(expression.Ok(replies.Answer()), self.state)
        return [expression.Ok(done) for _ in batch]

    def close(self) -> None:
        self.closed = True


class _Connector:
    """A connector that opens a limited number of connections."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.opened: list[_Connection] = []

    async def open(
        self, member: members.Member
    ) -> expression.Result[requests.Connection, errors.Failure]:
        await asyncio.sleep(0)
        if sum(not c.closed for c in self.opened) >= self.most:
            reason = replies.Reason.CONNECTION_LIMIT
            return expression.Error(replies.Rejection(reason))
        self.opened.append(_Connection())
        return expression.Ok(self.opened[-1])


class LenderTest(unittest.IsolatedAsyncioTestCase):
    """Tests how the pool uses a limited number of connections."""

    def build(self, most: int, allowed: int = 20) -> lenders.Lender:
        self.connector = _Connector(most)
        clock = clocks.SystemClock()
        return lenders.Lender(_MEMBER, allowed, self.connector, clock)

    def make_request(self, order: int = 0, seconds: float = 0.2) -> object:
        now = clocks.SystemClock().now()
        rank = ranks.Rank(
            str(order), order, datetime.timedelta(seconds=1), 0.05
        )
        ends = now + datetime.timedelta(seconds=seconds)
        return request_lib.Request(rank, now, ends)

    async def test_an_idle_connection_is_reused(self) -> None:
        lender = self.build(5)
        for _ in range(3):
            (await lender.borrow(self.make_request(), {})).ok.end()
        self.assertEqual(len(self.connector.opened), 1)

    async def test_a_connection_with_a_matching_session_is_preferred(
        self,
    ) -> None:
        lender = self.build(5)
        loans = [
            (await lender.borrow(self.make_request(), {})).ok for _ in range(2)
        ]
        await loans[0].match({"v": "1"}, None)
        for loan in loans:
            loan.end()
        again = (await lender.borrow(self.make_request(), {"v": "1"})).ok
        self.assertIs(again, loans[0])
        self.assertIsNone(await again.match({"v": "1"}, None))
        self.assertEqual(len(again.connection.sent), 1)

    async def test_removed_session_values_are_reset(self) -> None:
        lender = self.build(5)
        loan = (await lender.borrow(self.make_request(), {})).ok
        await loan.match({"v": "1", "w": "2"}, None)
        await loan.match({"w": "2"}, None)
        self.assertEqual(
            loan.connection.sent[-2:],
            [requests.Reset(), requests.SetValue("w", "2")],
        )

    async def test_the_last_connection_is_not_lent_to_a_transaction(
        self,
    ) -> None:
        lender = self.build(1)
        (await lender.borrow(self.make_request(), {})).ok.end()
        refused = await lender.borrow(self.make_request(), {}, lenders.Use.LONG)
        self.assertTrue(refused.is_error())
        self.assertTrue((await lender.borrow(self.make_request(), {})).is_ok())

    async def test_a_transaction_gets_the_only_allowed_connection(self) -> None:
        lender = self.build(1, allowed=1)
        taken = await lender.borrow(self.make_request(), {}, lenders.Use.LONG)
        self.assertTrue(taken.is_ok())

    async def test_waiting_borrowers_are_served_by_rank(self) -> None:
        lender = self.build(1)
        held = (await lender.borrow(self.make_request(), {})).ok
        order: list[int] = []

        async def wait(rank: int) -> None:
            loan = (await lender.borrow(self.make_request(rank, 2), {})).ok
            order.append(rank)
            loan.end()

        waiting = [asyncio.create_task(wait(rank)) for rank in (2, 0, 1)]
        await asyncio.sleep(0.02)
        held.end()
        await asyncio.gather(*waiting)
        self.assertEqual(order, [0, 1, 2])

    async def test_a_waiting_borrower_fails_at_its_deadline(self) -> None:
        lender = self.build(1)
        held = (await lender.borrow(self.make_request(), {})).ok
        late = await lender.borrow(self.make_request(seconds=0.05), {})
        self.assertIsInstance(late.error, errors.DeadlinePassed)
        held.end()
        self.assertTrue((await lender.borrow(self.make_request(), {})).is_ok())

    async def test_a_probe_with_an_open_transaction_closes_the_connection(
        self,
    ) -> None:
        # The database can fail the rollback that ends a probe. A connection
        # with an open transaction must not be reused.
        lender = self.build(5)
        (await lender.borrow(self.make_request(), {})).ok.end()
        (connection,) = self.connector.opened
        connection.state = replies.SessionState.IN_TRANSACTION
        evidence = evidences.Evidence(1)
        prober = probers.Prober(evidence, {"a": lender}, clocks.SystemClock())
        await prober.ask("a", requests.Begin(), requests.Rollback())
        self.assertTrue(connection.closed)
