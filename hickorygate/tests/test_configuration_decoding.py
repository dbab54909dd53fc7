"""Tests the decoding of valid and invalid configurations."""

from __future__ import annotations

import datetime
import unittest
from unittest import mock

import expression

from hickorygate.core import access_policy
from hickorygate.core import catalog as catalogs
from hickorygate.core import errors
from hickorygate.core import workspace as workspaces
from hickorygate.platform import configuration_decoding

_ROUTE = {
    "name": "r-1",
    "host": "fiti832",
    "type": "read_your_writes",
    "timeout_ms": 1000,
    "latency_goal_ms": 400,
    "priority": 1,
    "service": "huvo11a",
    "max_staleness_ms": 2500,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [{"name": "huvo11a", "max_conns": 22, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 3000},
}


def _decode(
    value: object, keys_required: bool = False
) -> expression.Result[catalogs.Catalog, errors.Failure]:
    return configuration_decoding.decode_catalog(value, keys_required)


class CatalogTest(unittest.TestCase):
    """Decoding of the configuration."""

    def test_routes_are_found_by_database_name(self) -> None:
        catalog = _decode(_CONFIGURATION).ok
        route = catalog.routes["fiti832"]
        staleness = datetime.timedelta(milliseconds=2_500)
        self.assertEqual(route.consistency, catalogs.ReadYourWrites(staleness))
        self.assertEqual(route.rank.order, 1)
        self.assertEqual(catalog.services["huvo11a"].connections, 22)

    def test_an_invalid_configuration_is_a_failure(self) -> None:
        for value in (
            None,
            {},
            {**_CONFIGURATION, "version": "x"},
            {**_CONFIGURATION, "routes": [{**_ROUTE, "type": "any"}]},
        ):
            with self.subTest(value):
                self.assertTrue(_decode(value).is_error())

    def test_an_empty_list_serves_nothing(self) -> None:
        # Guards against an empty list that counts as a missing one.
        for field in ("routes", "services"):
            with self.subTest(field):
                catalog = _decode({**_CONFIGURATION, field: []}).ok
                self.assertEqual(getattr(catalog, field), {})
                for value in (None, {}, "all"):
                    unreadable = {**_CONFIGURATION, field: value}
                    self.assertTrue(_decode(unreadable).is_error())
                missing = {**_CONFIGURATION}
                del missing[field]
                self.assertTrue(_decode(missing).is_error())


def _tenants(*entries: object) -> catalogs.Catalog:
    """Returns the catalog of a configuration with workspaces."""
    value = {**_CONFIGURATION, "tenants": list(entries)}
    return _decode(value).ok


def _find(catalog: catalogs.Catalog, key: str) -> str | None:
    found = catalog.access.keys.find(workspaces.Credential.of(key))
    return found.name if found is not None else None


class WorkspacesTest(unittest.TestCase):
    """Decoding of workspaces and their keys."""

    def test_keys_identify_their_workspace(self) -> None:
        catalog = _tenants(
            {
                "name": "acme",
                "api_keys": ["k1", "k2"],
                "rate_per_s": 12.5,
                "burst": 30,
                "priority": 1,
            },
            {"name": "beta", "api_keys": ["k3"]},
        )
        self.assertEqual(
            [_find(catalog, k) for k in ("k1", "k2")], 2 * ["acme"]
        )
        self.assertEqual(_find(catalog, "k3"), "beta")
        self.assertIsNone(_find(catalog, "k4"))
        self.assertEqual(
            catalog.workspaces,
            {
                "acme": workspaces.Workspace("acme", 12.5, 30),
                "beta": workspaces.Workspace("beta"),
            },
        )
        self.assertEqual(catalog.workspace_errors, ())

    def test_only_a_configuration_without_a_list_is_open(self) -> None:
        self.assertEqual(
            _decode(_CONFIGURATION).ok.access, access_policy.OpenAccess()
        )
        access = _decode(_CONFIGURATION, keys_required=True).ok.access
        self.assertEqual(len(access.keys), 0)

    def test_an_empty_list_admits_nobody(self) -> None:
        # Guards against review/14: an empty list counted as none, so that the
        # removal of the last workspace admitted everyone.
        for tenants in (None, []):
            for keys_required in (False, True):
                with self.subTest(tenants, keys_required=keys_required):
                    value = {**_CONFIGURATION, "tenants": tenants}
                    catalog = _decode(value, keys_required).ok
                    self.assertEqual(len(catalog.access.keys), 0)
                    self.assertEqual(catalog.workspaces, {})

    def test_a_list_of_invalid_entries_admits_nobody(self) -> None:
        # Such a configuration would admit any key.
        catalog = _tenants({"name": "a b", "api_keys": ["k"]}, None, "acme")
        self.assertEqual(len(catalog.access.keys), 0)
        self.assertEqual(
            catalog.workspace_errors, ("invalid entries: #0, #1, #2",)
        )

    def test_tenants_that_are_no_list_are_invalid(self) -> None:
        value = {**_CONFIGURATION, "tenants": {"name": "acme"}}
        self.assertTrue(_decode(value).is_error())

    def test_a_key_of_two_workspaces_identifies_none(self) -> None:
        catalog = _tenants(
            {"name": "acme", "api_keys": ["shared", "k1", "k1"]},
            {"name": "beta", "api_keys": ["shared", "k2"]},
        )
        self.assertIsNone(_find(catalog, "shared"))
        self.assertEqual(_find(catalog, "k1"), "acme")
        self.assertEqual(_find(catalog, "k2"), "beta")
        self.assertEqual(
            catalog.workspace_errors, ("keys shared by: acme, beta",)
        )

    def test_workspaces_with_the_same_name_are_invalid(self) -> None:
        catalog = _tenants(
            {"name": "acme", "api_keys": ["k1"]},
            {"name": "acme", "api_keys": ["k2"]},
            {"name": "beta", "api_keys": ["k3"]},
        )
        self.assertIsNone(_find(catalog, "k1"))
        self.assertIsNone(_find(catalog, "k2"))
        self.assertEqual(_find(catalog, "k3"), "beta")
        self.assertEqual(set(catalog.workspaces), {"beta"})
        self.assertEqual(catalog.workspace_errors, ("names used twice: acme",))

    def test_invalid_limits_limit_nothing(self) -> None:
        for value in (-1, "5", None, True, [], float("nan"), 10**400):
            with self.subTest(value=value):
                catalog = _tenants(
                    {"name": "acme", "rate_per_s": value, "burst": value}
                )
                workspace = catalog.workspaces["acme"]
                self.assertEqual(workspace, workspaces.Workspace("acme"))
                reported = "unusable limits of: acme"
                errors_ = () if value is None else (reported,)
                self.assertEqual(catalog.workspace_errors, errors_)

    def test_a_rate_holds_without_a_burst(self) -> None:
        # Guards against a rate that limits nothing since no burst, or an
        # invalid one, stands beside it.
        for change, reported in (
            ({}, ()),
            ({"burst": None}, ()),
            ({"burst": "30"}, ("unusable limits of: acme",)),
        ):
            with self.subTest(change):
                catalog = _tenants({"name": "acme", "rate_per_s": 12, **change})
                workspace = catalog.workspaces["acme"]
                self.assertEqual((workspace.rate, workspace.burst), (12, 0))
                self.assertEqual(catalog.workspace_errors, reported)

    def test_unusable_keys_identify_nothing(self) -> None:
        catalog = _tenants({"name": "acme", "api_keys": ["", 7, None, "k"]})
        self.assertEqual(len(catalog.access.keys), 1)
        self.assertEqual(catalog.workspace_errors, ("unusable keys of: acme",))

    def test_only_true_makes_a_route_public(self) -> None:
        # Values that resemble true must not open a route to everybody.
        for value, public in ((True, True), (1, False), ("yes", False)):
            with self.subTest(value=value):
                route = {**_ROUTE, "public": value}
                value_ = {**_CONFIGURATION, "routes": [route]}
                catalog = _decode(value_).ok
                self.assertIs(catalog.routes["fiti832"].public, public)

    def test_no_error_shows_a_key(self) -> None:
        entries = [
            {"name": "acme", "api_keys": ["s3cret", "s3cret-2"]},
            {"name": "acme", "api_keys": ["s3cret"]},
            {"name": "", "api_keys": "s3cret"},
            {"name": 7, "api_keys": {"s3cret": "s3cret"}},
        ]
        self.assertNotIn("s3cret", str(_tenants(*entries).workspace_errors))
        value = {**_CONFIGURATION, "tenants": {"s3cret": "s3cret"}}
        failure = _decode(value).error
        self.assertNotIn("s3cret", repr(failure) + failure.message)

    def test_many_workspaces_are_hashed_once_per_key(self) -> None:
        # Decoding runs on the event loop; work that grows with the square of
        # the number of workspaces would stop all callers.
        entries = [
            {"name": f"w{number}", "api_keys": [f"k{number}"]}
            for number in range(10_000)
        ]
        hashed = []
        of = workspaces.Credential.of

        def count(key: str) -> workspaces.Credential:
            hashed.append(key)
            return of(key)

        with mock.patch.object(workspaces.Credential, "of", count):
            catalog = _tenants(*entries)
        self.assertEqual(len(hashed), len(entries))
        self.assertEqual(_find(catalog, "k9999"), "w9999")
