"""Numbered result codes, used in answers, logs and process exit codes."""

from __future__ import annotations

import enum


class ResultCode(enum.IntEnum):
    """The outcome of a request, leg, check or process.

    The hundreds digit names the group: 1 rejected request, 2 not run, 3 run without a
    complete result, 4 document, 5 process and settings, 6 platform, 7 peer, 8 leg.
    """

    OK = 0

    REQUEST_MALFORMED = 101
    REQUEST_TOO_LARGE = 102
    SERVICE_UNKNOWN = 103
    FIELD_INVALID = 104
    DEADLINE_EXPIRED = 105
    REQUEST_DUPLICATE = 106
    SHARD_UNKNOWN = 107
    REQUEST_STALE = 108

    NOT_RUN_OVERLOADED = 201
    NOT_RUN_LEAVING = 202
    NOT_RUN_NO_CONFIGURATION = 203
    NOT_RUN_PLATFORM_DOWN = 204
    NOT_RUN_QUARANTINED = 205
    NOT_RUN_NO_UPSTREAM = 206
    NOT_RUN_CLAIM_CLOSED = 207

    PARTIAL = 301
    OUTCOME_UNKNOWN = 302
    STILL_RUNNING = 303
    FAILED = 304
    RELAY_FAILED = 305

    DOCUMENT_INVALID = 401
    DOCUMENT_CONFLICT = 402
    DOCUMENT_TOO_LARGE = 403
    DOCUMENT_NOT_IN_FORCE = 404
    DOCUMENT_UNKNOWN_TEAM = 405
    DOCUMENT_FORCE_UNKNOWN = 406
    DOCUMENT_OUTCOME_UNKNOWN = 407

    SETTINGS_INVALID = 501
    SETTINGS_UNREADABLE = 502
    ADDRESS_IN_USE = 503
    INTERRUPTED = 504
    USAGE = 505
    INSTANCE_UNREACHABLE = 506
    START_FAILED = 507
    INTERNAL = 599

    PLATFORM_UNAVAILABLE = 601
    PLATFORM_CONFLICT = 602
    PLATFORM_NOT_FOUND = 603
    PLATFORM_RATE_LIMITED = 604
    PLATFORM_REPLY_INVALID = 605
    PLATFORM_HISTORY_GONE = 606

    PEER_VERSION = 701
    PEER_KEY = 702
    PEER_REPLAY = 703
    PEER_MALFORMED = 704
    PEER_UNREACHABLE = 705
    PEER_TOO_LARGE = 706
    PEER_NOT_HOLDER = 707

    LEG_TIMEOUT = 801
    LEG_REFUSED = 802
    LEG_CUT_OFF = 803
    LEG_REPLY_MALFORMED = 804
    LEG_REPLY_OVERSIZED = 805
    LEG_WRONG_REQUEST = 806
    LEG_WRONG_SNAPSHOT = 807
    LEG_SNAPSHOT_GONE = 808
    LEG_SHED = 809
    LEG_DRAINING = 810
    LEG_CANCELLED = 811
    LEG_SUSPECT = 812
    LEG_NO_HOLDER = 813
    LEG_FAILED = 814
    LEG_CONNECTION_SILENT = 815
    LEG_REPLY_CUT_OFF = 816


DESCRIPTION_BY_CODE: dict[ResultCode, str] = {
    ResultCode.OK: "The request ran whole.",
    ResultCode.REQUEST_MALFORMED: "The request body is not valid JSON.",
    ResultCode.REQUEST_TOO_LARGE: "The request body exceeds the size limit.",
    ResultCode.SERVICE_UNKNOWN: "The team or service is not in the document.",
    ResultCode.FIELD_INVALID: "A field of the request has a wrong type or value.",
    ResultCode.DEADLINE_EXPIRED: "The deadline had passed on arrival; not run.",
    ResultCode.REQUEST_DUPLICATE: "A request with this id is already in flight.",
    ResultCode.SHARD_UNKNOWN: "The named shard is not in the snapshot.",
    ResultCode.REQUEST_STALE: "The request was issued before the claim retention.",
    ResultCode.NOT_RUN_OVERLOADED: "Not run: the queue could not meet the deadline.",
    ResultCode.NOT_RUN_LEAVING: "Not run: the instance is leaving.",
    ResultCode.NOT_RUN_NO_CONFIGURATION: "Not run: no document is in force yet.",
    ResultCode.NOT_RUN_PLATFORM_DOWN: "Not run: the claim could not be recorded.",
    ResultCode.NOT_RUN_QUARANTINED: "Not run: the request crashed upstreams before.",
    ResultCode.NOT_RUN_NO_UPSTREAM: "Not run: no upstream could take the request.",
    ResultCode.NOT_RUN_CLAIM_CLOSED: "Not run: its claim was closed before sending.",
    ResultCode.PARTIAL: "Some shards did not answer; coverage names them.",
    ResultCode.OUTCOME_UNKNOWN: "The request was sent and its outcome is unknown.",
    ResultCode.STILL_RUNNING: "A request with this id is running elsewhere.",
    ResultCode.FAILED: "The request ran and the upstream reported a failure.",
    ResultCode.RELAY_FAILED: "The instance it was relayed to gave no success.",
    ResultCode.DOCUMENT_INVALID: "The document was refused; the running one stays.",
    ResultCode.DOCUMENT_CONFLICT: "The section changed since the base version.",
    ResultCode.DOCUMENT_TOO_LARGE: "A section exceeds the platform's value size.",
    ResultCode.DOCUMENT_NOT_IN_FORCE: "Accepted, but not yet run by every instance.",
    ResultCode.DOCUMENT_UNKNOWN_TEAM: "No section of this team is in the document.",
    ResultCode.DOCUMENT_FORCE_UNKNOWN: (
        "Accepted, but which instances run it could not be read."
    ),
    ResultCode.DOCUMENT_OUTCOME_UNKNOWN: (
        "The section was sent, but whether it was accepted is unknown."
    ),
    ResultCode.SETTINGS_INVALID: "A setting has a wrong name, type or value.",
    ResultCode.SETTINGS_UNREADABLE: "The settings file cannot be read.",
    ResultCode.ADDRESS_IN_USE: "A listening address is already in use.",
    ResultCode.INTERRUPTED: "A second stop signal cut requests in flight.",
    ResultCode.USAGE: "The command line is wrong.",
    ResultCode.INSTANCE_UNREACHABLE: "No instance answered the command-line tool.",
    ResultCode.START_FAILED: "The process could not start; see the log.",
    ResultCode.INTERNAL: "An unexpected error; see the log.",
    ResultCode.PLATFORM_UNAVAILABLE: "The platform did not answer.",
    ResultCode.PLATFORM_CONFLICT: "The object's version is not the expected one.",
    ResultCode.PLATFORM_NOT_FOUND: "The platform has no such object.",
    ResultCode.PLATFORM_RATE_LIMITED: "The platform, or our own cap, refused a call.",
    ResultCode.PLATFORM_REPLY_INVALID: "The platform's reply or object is invalid.",
    ResultCode.PLATFORM_HISTORY_GONE: "The watch's start version is no longer kept.",
    ResultCode.PEER_VERSION: "The peer speaks another protocol version.",
    ResultCode.PEER_KEY: "The peer message is not signed with our key.",
    ResultCode.PEER_REPLAY: "The peer message repeats an old sequence number.",
    ResultCode.PEER_MALFORMED: "The peer message cannot be decoded.",
    ResultCode.PEER_UNREACHABLE: "The peer did not answer.",
    ResultCode.PEER_TOO_LARGE: "The peer message exceeds the size limit.",
    ResultCode.PEER_NOT_HOLDER: "The peer does not hold the duty it was asked for.",
    ResultCode.LEG_TIMEOUT: "The upstream did not answer in time.",
    ResultCode.LEG_REFUSED: "The upstream refused the connection.",
    ResultCode.LEG_CUT_OFF: "The connection closed while the leg ran.",
    ResultCode.LEG_REPLY_MALFORMED: "The upstream's reply cannot be decoded.",
    ResultCode.LEG_REPLY_OVERSIZED: "The upstream's reply exceeds the size limit.",
    ResultCode.LEG_WRONG_REQUEST: "The reply belongs to another leg.",
    ResultCode.LEG_WRONG_SNAPSHOT: "The reply is from another snapshot.",
    ResultCode.LEG_SNAPSHOT_GONE: "The upstream no longer has the snapshot.",
    ResultCode.LEG_SHED: "The upstream shed the leg without running it.",
    ResultCode.LEG_DRAINING: "The upstream is draining and did not run the leg.",
    ResultCode.LEG_CANCELLED: "The leg was cancelled.",
    ResultCode.LEG_SUSPECT: "The request is suspected of crashing upstreams.",
    ResultCode.LEG_NO_HOLDER: "No live instance holds connections to the upstream.",
    ResultCode.LEG_FAILED: "The upstream reported an error.",
    ResultCode.LEG_CONNECTION_SILENT: (
        "No answer on an old connection while newer ones answer."
    ),
    ResultCode.LEG_REPLY_CUT_OFF: (
        "The connection closed while the leg ran, but the upstream runs on."
    ),
}


def describe_code(code: ResultCode) -> str:
    """Return the one-line description of a result code."""
    return DESCRIPTION_BY_CODE[code]


def exit_code(code: ResultCode) -> int:
    """Return the process exit code of a result code.

    Exit codes have 8 bits, too few for a result code: the exit code is the group digit
    times 10 plus the last two digits, limited to 9. The limit takes effect only for
    INTERNAL (59) among the codes that a process exits with.
    """
    if code is ResultCode.OK:
        return 0
    group, number = divmod(int(code), 100)
    return group * 10 + min(number, 9)
