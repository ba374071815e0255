"""Exceptions of almondspool, each with a numbered result code."""

from __future__ import annotations

import errno

from almondspool.codes import ResultCode


class AlmondspoolError(Exception):
    """Base class of the exceptions that almondspool raises.

    Attributes:
        code: The numbered result code.
    """

    code = ResultCode.INTERNAL

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        """Store the message and, if given, a more specific code than the class has."""
        super().__init__(message)
        if code is not None:
            self.code = code


class SettingsError(AlmondspoolError):
    """A settings file cannot be read or has an invalid value."""

    code = ResultCode.SETTINGS_INVALID


class RequestError(AlmondspoolError):
    """A caller's request was rejected before any of it ran."""

    code = ResultCode.REQUEST_MALFORMED


class DocumentError(AlmondspoolError):
    """A configuration document was rejected.

    Attributes:
        problems: The individual DocumentProblems; empty if there is only the message.
    """

    code = ResultCode.DOCUMENT_INVALID

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        problems: tuple[object, ...] = (),
    ) -> None:
        """Store the message, the code as the base class does, and the problems."""
        super().__init__(message, code)
        self.problems = problems


class PlatformError(AlmondspoolError):
    """A call to the platform's object API failed.

    Attributes:
        current_version: The object's version; 0 unless the reply to a conflict states
            it.
        retry_after_s: Seconds to wait before the next call; 0 unless the reply states
            it.
    """

    code = ResultCode.PLATFORM_UNAVAILABLE

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        current_version: int = 0,
        retry_after_s: float = 0.0,
    ) -> None:
        """Store the message, the code as the base class does, and the attributes."""
        super().__init__(message, code)
        self.current_version = current_version
        self.retry_after_s = retry_after_s


class CallNotStartedError(PlatformError):
    """The local circuit breaker or rate limit refused a platform call.

    The call was not sent, so a write had no effect.
    """


class PeerError(AlmondspoolError):
    """A message from a peer instance was rejected."""

    code = ResultCode.PEER_MALFORMED


class UpstreamError(AlmondspoolError):
    """An exchange with an upstream failed as a whole."""

    code = ResultCode.LEG_FAILED


class UsageError(AlmondspoolError):
    """The command line is invalid."""

    code = ResultCode.USAGE


class InstanceError(AlmondspoolError):
    """No instance answered the command-line tool, or one answered with an error."""

    code = ResultCode.INSTANCE_UNREACHABLE


def start_failure_code(error: OSError | AlmondspoolError) -> ResultCode:
    """Return the result code of an error that prevents the start of a process."""
    if isinstance(error, AlmondspoolError):
        return error.code
    if error.errno == errno.EADDRINUSE:
        return ResultCode.ADDRESS_IN_USE
    return ResultCode.START_FAILED
