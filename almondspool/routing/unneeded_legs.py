"""Decision on a leg whose result is no longer needed.

Answers overload: a leg that another replica has replaced, or whose search has ended,
occupies a slot that the queued legs of other searches need.
"""

from __future__ import annotations

from almondspool.protocol.exchange import ConnectionState


def should_cancel(queue_rounds: float, connection_state: ConnectionState) -> bool:
    """Return whether to cancel the leg instead of waiting for its late reply.

    A cancellation closes the connection, and opening another one takes longer than a
    short leg. It pays off if other legs wait for the slot, or if another connection is
    idle. Otherwise the reply is received, which also tells how slow the replica is.

    Args:
        queue_rounds: Queue at the leg's replica, in multiples of its slots.
        connection_state: The kind of connection that the next leg to the replica gets.
    """
    return queue_rounds > 0.0 or connection_state is ConnectionState.IDLE
