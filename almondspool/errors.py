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
    """A call to the platform's object API failed."""

    code = ResultCode.PLATFORM_UNAVAILABLE


class PeerError(AlmondspoolError):
    """A message from a peer instance is refused."""

    code = ResultCode.PEER_MALFORMED


class UpstreamError(AlmondspoolError):
    """An exchange with an upstream failed as a whole."""

    code = ResultCode.LEG_FAILED
