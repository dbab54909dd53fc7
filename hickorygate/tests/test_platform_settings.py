"""Tests the parsing of the platform's settings file."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from hickorygate.platform import settings as settings_lib

_TEXT = """\
node_name=front-a-1
zone=a
listen.front=10.1.0.8:8784
listen.ready=10.1.0.8:8785
platform.address=10.200.1.7:8783
cloud_api.address=10.200.0.160:8783
bounds.grace_s=6
limits.max_fds=6300
limits.memory_mb=552.5
something.new=1,2
"""


class PlatformSettingsTest(unittest.TestCase):
    """Parsing of `a.b=value` lines."""

    def test_known_keys_are_read_and_others_ignored(self) -> None:
        settings = settings_lib.parse(_TEXT, "boot.conf").ok
        self.assertEqual(settings.name, "front-a-1")
        self.assertEqual(
            settings.callers, settings_lib.Address("10.1.0.8", 8784)
        )
        self.assertEqual(settings.grace_seconds, 6)
        self.assertEqual(settings.max_descriptors, 6_300)
        self.assertEqual(settings.memory_mb, 552.5)

    def test_the_limits_are_optional(self) -> None:
        text = _TEXT.replace("limits.", "former.")
        settings = settings_lib.parse(text, "boot.conf").ok
        self.assertIsNone(settings.max_descriptors)
        self.assertIsNone(settings.memory_mb)

    def test_a_contract_requires_keys(self) -> None:
        # Guards against a name that only resembles the contract's.
        for contracts, required in (
            ("base,tenants,quota", True),
            ("base, tenants", True),
            ("tenants", True),
            ("base,quota", False),
            ("base,subtenants,tenants.v2", False),
            ("", False),
        ):
            with self.subTest(contracts=contracts):
                text = f"{_TEXT}contracts={contracts}\n"
                settings = settings_lib.parse(text, "boot.conf").ok
                self.assertIs(settings.keys_required, required)

    def test_an_invalid_value_is_reported_with_its_line(self) -> None:
        text = _TEXT.replace("10.1.0.8:8784", "nowhere")
        failure = settings_lib.parse(text, "boot.conf").error
        (problem,) = failure.problems
        self.assertEqual((problem.line, problem.where), (3, "listen.front"))
        self.assertIn("'nowhere'", problem.reason)
        self.assertIn("HOST:PORT", problem.reason)

    # Guards against a value that ends where the file's line doesn't.
    def test_only_a_line_feed_ends_a_line(self) -> None:
        for separator in "\u2028\u2029\x85\x0b\x0c\x1c\x1d\x1e\r":
            for value in (
                f"a{separator}zone=b",
                f"{separator}a",
                f"a{separator}",
            ):
                if value.strip("\r") != value:
                    continue  # A CR at an end belongs to the line's end.
                with self.subTest(value=value):
                    text = _TEXT.replace("zone=a\n", f"zone={value}\n")
                    settings = settings_lib.parse(text, "boot.conf").ok
                    self.assertEqual(settings.zone, value)
                    text = text.replace("10.1.0.8:8784", "nowhere")
                    failure = settings_lib.parse(text, "boot.conf").error
                    self.assertEqual(failure.problems[0].line, 3)

    # Guards against a file that is read in another way than its text.
    def test_a_loaded_file_has_the_same_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.conf"
            for end in ("\n", "\r\n"):
                text = _TEXT.replace("zone=a\n", "zone=a\rb\n")
                path.write_bytes(text.replace("\n", end).encode())
                settings = settings_lib.load(path).ok
                self.assertEqual(settings.zone, "a\rb")
                self.assertEqual(settings.name, "front-a-1")
            path.write_bytes(b"zone=\xff\n")
            failure = settings_lib.load(path).error
            self.assertEqual(failure.problems[0].where, "file")

    def test_a_missing_key_is_reported(self) -> None:
        text = _TEXT.replace("zone=a\n", "")
        failure = settings_lib.parse(text, "boot.conf").error
        self.assertEqual(failure.problems[0].where, "zone")

    def test_the_listener_for_other_proxies_is_optional(self) -> None:
        settings = settings_lib.parse(_TEXT, "boot.conf").ok
        self.assertEqual(settings.statements_host, "")
        text = _TEXT + "ip=10.1.0.8\nport_range=7440,7455\n"
        settings = settings_lib.parse(text, "boot.conf").ok
        self.assertEqual(settings.statements_host, "10.1.0.8")
        self.assertEqual(settings.statements_ports, range(7_440, 7_456))
        for wrong in (
            "7440",
            "7455,7440",
            "0,5",
            "1,70000",
            "a,b",
            "",
            "\u0667,\u0668",
        ):
            text = _TEXT + f"port_range={wrong}\n"
            failure = settings_lib.parse(text, "boot.conf").error
            self.assertEqual(failure.problems[0].where, "port_range", wrong)

    def test_a_slow_network_reduces_the_capacity(self) -> None:
        # 10 Mbit/s are too few for the replies that half a core can serve.
        text = _TEXT + "limits.cpu_cores=1\nlimits.cpu_share=0.5\n"
        settings = settings_lib.parse(text, "boot.conf").ok
        self.assertEqual(settings.limits.capacity, 0.5)
        text += "limits.link_mbps=10\n"
        settings = settings_lib.parse(text, "boot.conf").ok
        self.assertEqual(settings.limits.capacity, 0.2)
