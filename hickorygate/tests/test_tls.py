"""Tests of TLS to callers and to databases, with a generated certificate."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import pathlib
import ssl
import tempfile
import unittest

import asyncmy
from asyncmy import errors as asyncmy_errors
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
import uvloop

from hickorygate.core import clock as clocks
from hickorygate.core import settings
from hickorygate.core import sheet
from hickorygate.core import tls
from hickorygate.testing import database as databases
from hickorygate.upstreams import connection as connections

_DAY = datetime.timedelta(days=1)
_TIMEOUT = datetime.timedelta(seconds=5)


def _make_certificate(folder: pathlib.Path) -> settings.TlsSettings:
    """Writes a private key and a self-signed certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - _DAY)
        .not_valid_after(now + _DAY)
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    paths = folder / "certificate.pem", folder / "key.pem"
    pem = serialization.Encoding.PEM
    paths[0].write_bytes(certificate.public_bytes(pem))
    paths[1].write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings.TlsSettings(
        certificate=paths[0], key=paths[1], authority=paths[0]
    )


def _make_database(
    files: settings.TlsSettings,
) -> databases.StandInDatabase:
    """Returns a database that requires TLS."""
    clock = clocks.SystemClock()
    group = databases.StandInGroup(clock)
    database = databases.StandInDatabase("db", group, clock)
    only_server = files.model_copy(update={"authority": None})
    context = tls.server_context(only_server).ok
    database._server.use_tls(context, required=True)
    return database


async def _ask(port: int, files: settings.TlsSettings) -> object:
    """Runs a query on a database over TLS and returns the rows."""
    connection = await asyncmy.connect(
        host="127.0.0.1",
        port=port,
        user="hickorygate",
        ssl=ssl.create_default_context(cafile=files.authority),
    )
    cursor = connection.cursor()
    await cursor.execute("SELECT 'over TLS'")
    rows = await cursor.fetchall()
    await connection.ensure_closed()
    return rows


class UvloopTest(unittest.TestCase):
    """TLS on uvloop, the event loop that the program runs on."""

    def test_caller_over_tls(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = _make_certificate(pathlib.Path(folder))
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                rows = runner.run(self.ask(files))
        self.assertEqual(rows, (("over TLS",),))

    async def ask(self, files: settings.TlsSettings) -> object:
        database = _make_database(files)
        await database.start()
        rows = await _ask(database.port, files)
        await database.stop()
        return rows


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """A server that requires TLS."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = _make_certificate(pathlib.Path(folder.name))
        self.database = _make_database(self.files)
        await self.database.start()
        self.addAsyncCleanup(self.database.stop)

    async def test_caller_over_tls(self) -> None:
        rows = await _ask(self.database.port, self.files)
        self.assertEqual(rows, (("over TLS",),))

    async def test_caller_without_tls_is_refused(self) -> None:
        with self.assertRaises(asyncmy_errors.MySQLError) as caught:
            await asyncmy.connect(
                host="127.0.0.1", port=self.database.port, user="hickorygate"
            )
        self.assertEqual(caught.exception.args[0], 3159)

    async def connect_to_database(self, files: settings.TlsSettings) -> bool:
        database = sheet.Database(
            "db", "127.0.0.1", self.database.port, "nl-west-a", 20, 3
        )
        result = await connections.open_connection(
            database, settings.UpstreamSettings(tls=files)
        )
        if result.is_ok():
            answer = await result.ok.execute("SELECT 1", _TIMEOUT)
            self.assertTrue(answer.is_ok())
            result.ok.close()
        return result.is_ok()

    async def test_database_over_tls(self) -> None:
        only_authority = self.files.model_copy(
            update={"certificate": None, "key": None}
        )
        self.assertTrue(await self.connect_to_database(only_authority))

    async def test_database_with_foreign_certificate_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            other = _make_certificate(pathlib.Path(folder))
            self.assertFalse(await self.connect_to_database(other))

    def test_unusable_settings_are_reported(self) -> None:
        missing = pathlib.Path("missing.pem")
        files = settings.TlsSettings(certificate=missing)
        self.assertIn("missing.pem", tls.server_context(files).error.message)
        nothing = settings.TlsSettings()
        self.assertTrue(tls.server_context(nothing).is_error())
        self.assertTrue(tls.client_context(nothing).is_error())
