"""Writes a stand-in engine's answers, subject to its faults."""

from __future__ import annotations

from umberusher.net.connection import RawMessage
from umberusher.net.loop import Loop
from umberusher.standin.engine_connection import EngineConnection
from umberusher.standin.engine_faults import EngineFaults


class AnswerWriter:
    """Writes the answers of one incarnation of an engine, or withholds them by a fault."""

    __slots__ = ("_faults", "_loop", "_withheld")

    def __init__(self, loop: Loop, faults: EngineFaults) -> None:
        self._loop = loop
        self._faults = faults
        self._withheld: list[tuple[EngineConnection, bytes]] = []

    def write(self, connection: EngineConnection, data: bytes) -> None:
        """Write a line now, after the delay of a fault, or when the engine responds again."""
        if self._faults.unresponsive:
            self._withheld.append((connection, data))
        elif self._faults.network_delay_ms:
            self._loop.call_later(
                self._faults.network_delay_ms, lambda: connection.transport.send(RawMessage(data))
            )
        else:
            connection.transport.send(RawMessage(data))

    def write_result(self, connection: EngineConnection, data: bytes) -> None:
        """Write a line with a page; a fault may truncate it and reset the connection."""
        cut_after_bytes = self._faults.cut_result_after_bytes
        if cut_after_bytes is None:
            self.write(connection, data)
            return
        self._faults.cut_result_after_bytes = None
        self.write(connection, data[:cut_after_bytes])
        connection.reset()

    def resume_answers(self) -> None:
        """End an unresponsive phase and send the withheld answers."""
        self._faults.unresponsive = False
        withheld = self._withheld
        self._withheld = []
        for connection, data in withheld:
            connection.transport.send(RawMessage(data))
