"""Deadline of one request, and the shorter deadlines of its legs."""

from __future__ import annotations

import math
from typing import NamedTuple

# Time reserved for building and returning the answer.
ANSWER_MARGIN_S = 0.005
# Upper bound of that time as a share of the deadline.
MAX_ANSWER_MARGIN_SHARE = 0.1
# Time reserved for returning a leg's result to this instance.
HOP_MARGIN_S = 0.004
# With less time left, no leg is sent and no request restarted.
MIN_LEG_TIME_MS = 2
MIN_RESTART_TIME_S = 0.020


class RequestDeadline(NamedTuple):
    """Times that end a request and its sends, in monotonic seconds.

    Attributes:
        finish_at: When the answer is built, a margin before the caller's deadline.
        send_before: When a claim's lease ends; no leg may be sent after it.
    """

    finish_at: float
    send_before: float = math.inf

    def leg_ms(self, now: float) -> int:
        """Return the time that is left for a leg sent now, in milliseconds."""
        return int((self.finish_at - now - HOP_MARGIN_S) * 1000)

    def may_send(self, now: float) -> bool:
        """Return whether a leg may be sent now and its result can return in time."""
        return now < self.send_before and self.leg_ms(now) >= MIN_LEG_TIME_MS

    def may_restart(self, now: float) -> bool:
        """Return whether there is time to restart the request."""
        return now + MIN_RESTART_TIME_S <= self.finish_at


def make_deadline(
    arrived_at: float, deadline_ms: int, send_before: float = math.inf
) -> RequestDeadline:
    """Return the deadline of a request.

    Args:
        arrived_at: When the request arrived, in monotonic seconds.
        deadline_ms: The caller's deadline, in milliseconds after the arrival.
        send_before: When the lease on the request's claim ends, in monotonic seconds;
            infinity without a claim.
    """
    deadline_s = deadline_ms / 1000
    margin_s = min(ANSWER_MARGIN_S, deadline_s * MAX_ANSWER_MARGIN_SHARE)
    return RequestDeadline(arrived_at + deadline_s - margin_s, send_before)
