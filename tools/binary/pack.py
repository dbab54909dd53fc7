"""Appends a directory to the launcher: `pack.py LAUNCHER ROOT OUTPUT`.

The payload is one zlib stream of entries. An entry consists of a header
(length of the path, file mode, length of the content), the path, and the
content. An entry with an empty path ends the payload. The trailer at the end
of the file contains the payload's offset, length and digest.
"""

from __future__ import annotations

from collections.abc import Iterator
import hashlib
import pathlib
import stat
import struct
import sys
import zlib

__all__ = ["main"]

_MAGIC = b"HKGPACK1"
_ENTRY = struct.Struct("<IIQ")
_TRAILER = struct.Struct("<QQ16s8s")
_DIGEST_CHARS = 16
_COMPRESSION_LEVEL = 9


def _entries(root: pathlib.Path) -> Iterator[bytes]:
    for path in sorted(root.rglob("*")):
        if not path.is_file():
            continue
        name = path.relative_to(root).as_posix().encode()
        content = path.read_bytes()
        mode = stat.S_IMODE(path.stat().st_mode)
        yield _ENTRY.pack(len(name), mode, len(content)) + name + content
    yield _ENTRY.pack(0, 0, 0)


def main(
    launcher: pathlib.Path, root: pathlib.Path, output: pathlib.Path
) -> None:
    """Writes the executable: launcher, payload and trailer.

    Args:
      launcher: compiled launcher.
      root: directory to pack.
      output: file to write.
    """
    program = launcher.read_bytes()
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    parts = [compressor.compress(entry) for entry in _entries(root)]
    payload = b"".join([*parts, compressor.flush()])
    digest = hashlib.sha256(payload).hexdigest()[:_DIGEST_CHARS].encode()
    trailer = _TRAILER.pack(len(program), len(payload), digest, _MAGIC)
    output.write_bytes(program + payload + trailer)
    output.chmod(0o755)


if __name__ == "__main__":
    main(*(pathlib.Path(argument) for argument in sys.argv[1:4]))
