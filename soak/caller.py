"""Callers that read and write through proxies and check the answers."""

from __future__ import annotations

import asyncio
import collections
import random

from soak import checker
from soak import odd_text
from soak import proxy as proxies
from soak import session as sessions
from soak import system

__all__ = ["AccessChecker", "Caller", "ConfigurationChecker"]

_SESSION_LENGTH = 12
"""Mean number of operations in a session."""

_PAUSE_SECONDS = 0.03
_IDLE_SECONDS = 0.4
_RETRY_SECONDS = 0.1
_ITEMS = 3
"""Number of items that a caller writes to at a time."""

_VALUES = ("plain", "audit", "night")
_FORWARDED = ("READ", "WRITE", "EXECUTE", "COMMIT")
"""Statements that a database must answer."""

_ODD_SHARE = 0.3
"""Share of the fields with odd bytes while callers send any."""

_CHANGE_SHARE = 0.3
"""Share of the statements before which a session value is set."""


class _SessionAbandoned(Exception):
    """The caller leaves the session, perhaps in the middle of a transaction."""


class Caller:
    """A caller that opens one session after another.

    Attributes:
      outcomes: number of occurrences of each outcome.
    """

    def __init__(
        self,
        number: int,
        tested_system: system.SystemUnderTest,
        consistency_checker: checker.ConsistencyChecker,
        rng: random.Random,
    ) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._number = number
        self._tested_system = tested_system
        self._consistency_checker = consistency_checker
        self._rng = rng
        # Of its own, so that the other choices are those of a seed's runs
        # before session values were played.
        self._value_rng = random.Random(f"values of caller {number}")
        self._text_rng = random.Random(f"odd texts of caller {number}")
        self._service = number % len(tested_system.groups)
        self._items = [self._new_item() for _ in range(_ITEMS)]
        self._versions: collections.Counter[str] = collections.Counter()
        self._own: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"Caller({self._number})"

    async def run(self) -> None:
        """Opens sessions until the task is cancelled."""
        while True:
            kind = self._rng.choice(system.ROUTE_KINDS)
            proxy = self._rng.choice(self._tested_system.proxies)
            try:
                await self._run_session(proxy, kind)
            except sessions.UnaskedAnswer as error:
                self.outcomes["unasked answer"] += 1
                self._consistency_checker.record_violation(
                    checker.Guarantee.MATCHED_ANSWER,
                    f"{error} came while no request was outstanding",
                )
            except sessions.SessionEnded:
                self.outcomes["connection ended"] += 1
            except _SessionAbandoned:
                self.outcomes["session given up"] += 1
            await asyncio.sleep(_RETRY_SECONDS * self._rng.random())

    async def write_and_read(self, proxy: proxies.Proxy, kind: str) -> bool:
        """Writes and reads an item through one proxy.

        Returns:
          Whether both succeeded.
        """
        try:
            session, opened = await self._open(proxy, kind)
        except sessions.SessionEnded:
            return False
        try:
            if not opened.succeeded:
                return False
            item = self._rng.choice(self._items)
            written = await self._write(session, item)
            return written and await self._read(session, kind, item)
        except (sessions.SessionEnded, _SessionAbandoned):
            return False
        finally:
            session.close()

    async def _open(
        self, proxy: proxies.Proxy, kind: str
    ) -> tuple[sessions.Session, sessions.Answer]:
        """Opens a session and clears the record of its own commits."""
        self._own = {}
        return await sessions.Session.open(
            proxy.host,
            proxy.callers.port,
            f"{kind}-{self._service}",
            self._odd_field("soak"),
        )

    async def _run_session(self, proxy: proxies.Proxy, kind: str) -> None:
        session, opened = await self._open(proxy, kind)
        try:
            self.outcomes[opened.code or "opened"] += 1
            while opened.succeeded:
                await self._vary_value(session)
                await self._operate(session, kind)
                if self._rng.random() < 1 / _SESSION_LENGTH:
                    return
                await self._pause()
        finally:
            session.close()

    async def _operate(self, session: sessions.Session, kind: str) -> None:
        match self._rng.randrange(6):
            case 0:
                await self._write(session, self._rng.choice(self._items))
            case 1:
                await self._transact(session)
            case 2:
                await self._execute_prepared(session, kind)
            case _:
                await self._read(session, kind, self._any_item())

    async def _vary_value(self, session: sessions.Session) -> None:
        """Sets a session value now and then.

        Raises:
          _SessionAbandoned: the value was refused, as in a transaction that was
            aborted meanwhile.
        """
        if self._value_rng.random() >= _CHANGE_SHARE:
            return
        value = self._odd_rest(self._value_rng.choice(_VALUES))
        name = self._odd_field("mode")
        if not (await session.set_value(name, value)).succeeded:
            raise _SessionAbandoned

    async def _read(
        self, session: sessions.Session, kind: str, item: str
    ) -> bool:
        sent = self._now()
        answer = await self._query(session, f"READ {item}")
        self._check_read(answer, kind, item, sent)
        return answer.succeeded

    async def _execute_prepared(
        self, session: sessions.Session, kind: str
    ) -> None:
        """Executes a statement under a name that all callers share.

        The other callers prepare other statements under the same name.
        """
        item = self._any_item()
        name = self._odd_field("s1")
        shape = self._odd_rest(f"shape{self._number}")
        prepared = await self._query(session, f"PREPARE {name} READ {shape}")
        sent = self._now()
        answer = await self._query(session, f"EXECUTE {name} {item}")
        self._check_read(answer, kind, item, sent)
        if prepared.succeeded and answer.succeeded:
            self._check_shape(answer.request, shape)

    async def _write(self, session: sessions.Session, item: str) -> bool:
        write = self._new_write(item)
        text = f"WRITE {item} {self._odd_rest(str(write.versions[item]))}"
        answer = await self._commit(session, write, text)
        return answer.succeeded

    async def _transact(self, session: sessions.Session) -> None:
        """Writes two items in a transaction, which may be abandoned."""
        await self._query(session, "BEGIN")
        write = self._new_write(*self._rng.sample(self._items, 2))
        for item, version in write.versions.items():
            await self._vary_value(session)
            data = self._odd_rest(str(version))
            answer = await self._query(session, f"WRITE {item} {data}")
            if not answer.succeeded:
                await session.query("ROLLBACK")
                return
            await self._pause()
        if self._rng.random() < 0.1:
            raise _SessionAbandoned
        if self._rng.random() < 0.2:
            await self._query(session, "ROLLBACK")
            return
        await self._commit(session, write, "COMMIT")

    async def _commit(
        self,
        session: sessions.Session,
        write: checker.SentWrite,
        text: str,
    ) -> sessions.Answer:
        """Sends the statement that commits a write and records the outcome."""
        self._consistency_checker.record_sent(write)
        try:
            answer = await self._query(session, text, write.request)
        except sessions.SessionEnded:
            self._replace_items(write)
            raise
        if answer.succeeded:
            self._consistency_checker.record_acknowledged(write, self._now())
            self._own.update(write.versions)
        else:
            self._consistency_checker.record_refused(write, answer.code)
            self._replace_items(write)
        return answer

    def _check_read(
        self, answer: sessions.Answer, kind: str, item: str, sent: float
    ) -> None:
        if not answer.succeeded:
            return
        if len(answer.rows) != 1:
            return
        (row,) = answer.rows
        self._consistency_checker.read(
            checker.ObservedRead(
                request=answer.request,
                item=item,
                version=0 if row == "-" else checker.version_of(row),
                sent=sent,
                staleness=(
                    0.0 if kind == "primary" else system.STALENESS_SECONDS
                ),
                own_version=self._own.get(item, 0) if kind != "bounded" else 0,
            )
        )

    async def _query(
        self, session: sessions.Session, text: str, request: str = ""
    ) -> sessions.Answer:
        """Sends a statement and checks its answer.

        Raises:
          SessionEnded: the connection ends before the answer is complete.
        """
        name = request or self._next_request()
        self._consistency_checker.record_text(name, text)
        answer = await session.query(text, name)
        self.outcomes[answer.code or "done"] += 1
        if answer.succeeded:
            self._check_success(text, answer)
        self._check_values(session, answer)
        return answer

    def _check_success(self, text: str, answer: sessions.Answer) -> None:
        """Checks the signature and the rows of an answer.

        The signature proves that a database of the service ran this request.
        Answers of the proxy itself carry none.
        """
        expected = [("-", ())]
        if text.partition(" ")[0] in _FORWARDED:
            expected = [
                (
                    database.execution_digest(answer.request),
                    _rows(database.rows_of_runs.get(answer.request)),
                )
                for database in self._tested_system.databases_ever(
                    self._service
                )
            ]
        if (answer.signature, answer.rows) not in expected:
            self._consistency_checker.record_violation(
                checker.Guarantee.MATCHED_ANSWER,
                f"{answer.request!r} ({text!r}) was answered with "
                f"{answer.signature!r} and {answer.rows!r}",
            )

    def _check_shape(self, request: str, shape: str) -> None:
        """Checks the shape that databases ran under a prepared name."""
        for database in self._tested_system.databases_ever(self._service):
            ran = database.prepared_of_runs.get(request, ("READ", shape))
            if ran != ("READ", shape):
                self._consistency_checker.record_violation(
                    checker.Guarantee.UNCHANGED,
                    f"{request!r} ran {ran!r}, prepared as {shape!r}",
                )

    def _check_values(
        self, session: sessions.Session, answer: sessions.Answer
    ) -> None:
        """Checks the session values with which a request ran."""
        group = self._tested_system.groups[self._service]
        for database in group.databases.values():
            ran_with = database.values_of_runs.get(answer.request)
            if ran_with is not None:
                self._consistency_checker.check_values(
                    answer.request, session.values, ran_with
                )

    def _new_write(self, *items: str) -> checker.SentWrite:
        for item in items:
            self._versions[item] += 1
        versions = {item: self._versions[item] for item in items}
        return checker.SentWrite(self._next_request(), versions)

    def _replace_items(self, write: checker.SentWrite) -> None:
        """Replaces the items of a failed write by new ones.

        The write may still take effect later. After a newer write to the same
        item, this would break the increasing order of the versions.
        """
        self._items = [
            self._new_item() if item in write.versions else item
            for item in self._items
        ]

    def _new_item(self) -> str:
        name = self._odd_field(
            f"{self._number}.{sessions.Session.next_request()}"
        )
        self._tested_system.items[self._service].append(name)
        return name

    def _next_request(self) -> str:
        return self._odd_field(sessions.Session.next_request())

    def _odd_field(self, text: str) -> str:
        """Adds odd bytes to some fields while the fault is active."""
        return odd_text.field(text, self._text_rng) if self._is_odd() else text

    def _odd_rest(self, text: str) -> str:
        """Adds odd bytes to some last fields while the fault is active."""
        return odd_text.rest(text, self._text_rng) if self._is_odd() else text

    def _is_odd(self) -> bool:
        active = self._tested_system.odd_texts > 0
        return active and self._text_rng.random() < _ODD_SHARE

    def _any_item(self) -> str:
        """Returns a random item of the service, of any caller.

        Only the newest items are drawn; most of them are still in use.
        """
        items = self._tested_system.items[self._service]
        return self._rng.choice(items[-4 * self._tested_system.size.callers :])

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _pause(self) -> None:
        idle = self._rng.random() < 0.1
        limit = _IDLE_SECONDS if idle else _PAUSE_SECONDS
        await asyncio.sleep(limit * self._rng.random())


def _rows(row: str | None) -> tuple[str, ...]:
    return () if row is None else (row,)


class ConfigurationChecker:
    """A caller that checks that proxies keep the newest configuration.

    The caller opens sessions with database names that newer configurations
    added. A process that accepted a name once must not reject it later.
    """

    def __init__(
        self,
        tested_system: system.SystemUnderTest,
        consistency_checker: checker.ConsistencyChecker,
        rng: random.Random,
    ) -> None:
        self._tested_system = tested_system
        self._consistency_checker = consistency_checker
        self._rng = rng
        self._accepted: set[tuple[str, int, str]] = set()

    def __repr__(self) -> str:
        return f"ConfigurationChecker(accepted={len(self._accepted)})"

    async def run(self) -> None:
        """Opens sessions until the task is cancelled."""
        while True:
            await asyncio.sleep(_RETRY_SECONDS * self._rng.random())
            if self._tested_system.added_names:
                name = self._rng.choice(self._tested_system.added_names)
                await self.check_name(
                    self._rng.randrange(self._tested_system.size.proxies), name
                )

    async def check_name(self, proxy: int, name: str) -> bool:
        """Opens a session with a database name.

        Returns:
          Whether the proxy accepted the name.
        """
        process = self._tested_system.proxies[proxy]
        incarnation = process.incarnation
        try:
            session, opened = await sessions.Session.open(
                process.host, process.callers.port, name
            )
        except sessions.SessionEnded:
            return False
        session.close()
        key = (process.name, incarnation, name)
        if incarnation != process.incarnation:
            return opened.succeeded
        if opened.succeeded:
            self._accepted.add(key)
        elif opened.code == "UNKNDB" and key in self._accepted:
            self._consistency_checker.record_violation(
                checker.Guarantee.MONOTONIC_CONFIGURATION,
                f"{process.name} forgot {name}",
            )
        return opened.succeeded


class AccessChecker:
    """A caller whose key no configuration ever held."""

    def __init__(
        self,
        tested_system: system.SystemUnderTest,
        consistency_checker: checker.ConsistencyChecker,
        rng: random.Random,
    ) -> None:
        self._tested_system = tested_system
        self._consistency_checker = consistency_checker
        self._rng = rng

    def __repr__(self) -> str:
        return f"AccessChecker({self._tested_system!r})"

    async def run(self) -> None:
        """Tries to open sessions until the task is cancelled."""
        while self._tested_system.has_workspaces:
            await asyncio.sleep(_RETRY_SECONDS * self._rng.random())
            await self.check(self._rng.choice(self._tested_system.proxies))

    async def check(self, process: proxies.Proxy) -> None:
        """Tries to open a session at a proxy, which must refuse it."""
        try:
            session, opened = await sessions.Session.open(
                process.host,
                process.callers.port,
                system.CLOSED_NAME,
                "never-held",
            )
        except sessions.SessionEnded:
            return
        session.close()
        if opened.succeeded:
            self._consistency_checker.record_violation(
                checker.Guarantee.KEYED, f"{process.name} admitted it"
            )
