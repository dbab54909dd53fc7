"""Writes frames to a connection, all frames of one loop turn together."""

from __future__ import annotations

import asyncio

__all__ = ["FrameWriter"]


class FrameWriter:
    """Collects frames and writes them at the end of the loop turn.

    Frames are numbered from 1, so that the owner can tell which of them may
    have reached the peer.
    """

    __slots__ = ("_frames", "_transport", "_written")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._frames: list[bytes] = []
        self._written = 0

    @property
    def written(self) -> int:
        """Number of the last frame that was passed to the transport."""
        return self._written

    @property
    def buffered(self) -> int:
        """Number of bytes that the transport has not sent yet."""
        return self._transport.get_write_buffer_size()

    def __repr__(self) -> str:
        return f"FrameWriter(written={self._written})"

    def write(self, frame: bytes) -> int:
        """Queues a frame and returns its number."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._frames.append(frame)
        return self._written + len(self._frames)

    def discard(self) -> None:
        """Drops the frames that are queued."""
        self._frames.clear()

    def _flush(self) -> None:
        if not self._frames or self._transport.is_closing():
            return
        frames, self._frames = self._frames, []
        self._written += len(frames)
        self._transport.write(b"".join(frames))
