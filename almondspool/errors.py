"""Exceptions of almondspool, each with a numbered result code."""

from __future__ import annotations

from almondspool.codes import ResultCode


class AlmondspoolError(Exception):
    """Base of all own exceptions.

    Attributes:
        code: The numbered result code.
    """

    code = ResultCode.INTERNAL

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        """Keep the message and, if given, a more exact code."""
        super().__init__(message)
        if code is not None:
            self.code = code


class SettingsError(AlmondspoolError):
    """A settings file cannot be read or has a wrong value."""

    code = ResultCode.SETTINGS_INVALID


class RequestError(AlmondspoolError):
    """A caller's request is refused before anything ran."""

    code = ResultCode.REQUEST_MALFORMED


class DocumentError(AlmondspoolError):
    """A configuration document is refused.

    Attributes:
        problems: Each DocumentProblem by itself; empty where the message is all.
    """

    code = ResultCode.DOCUMENT_INVALID

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        problems: tuple[object, ...] = (),
    ) -> None:
        """Keep the message, a more exact code and the single problems."""
        super().__init__(message, code)
        self.problems = problems


class PlatformError(AlmondspoolError):
    """A call to the platform's object API failed.

    Attributes:
        current_version: The object's version, where a conflict's reply tells it.
        retry_after_s: When to call again, in seconds, where the refusal tells it.
    """

    code = ResultCode.PLATFORM_UNAVAILABLE

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        current_version: int = 0,
        retry_after_s: float = 0.0,
    ) -> None:
        """Keep the message, a more exact code and what the reply told besides."""
        super().__init__(message, code)
        self.current_version = current_version
        self.retry_after_s = retry_after_s


class CallNotStartedError(PlatformError):
    """Our own circuit or cap refused a platform call; a write had no effect."""


class PeerError(AlmondspoolError):
    """A message from a peer instance is refused."""

    code = ResultCode.PEER_MALFORMED


class UpstreamError(AlmondspoolError):
    """An exchange with an upstream failed as a whole."""

    code = ResultCode.LEG_FAILED


class UsageError(AlmondspoolError):
    """The command line is wrong."""

    code = ResultCode.USAGE


class InstanceError(AlmondspoolError):
    """No instance answered the command-line tool, or one answered with an error."""

    code = ResultCode.INSTANCE_UNREACHABLE
