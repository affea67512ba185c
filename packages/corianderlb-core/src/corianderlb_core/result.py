"""Numbered result codes: the outcome of a request and what its caller can do.

A test compares this module with the table in ``docs/RESULT-CODES.md``. Every response
of the router has its code in the header ``Corianderlb-Result-Code``.
"""

from __future__ import annotations

from enum import Enum, IntEnum, unique
from typing import Final

from .data_class import dataclass

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""HTTP statuses that promise a caller that its request has not run and never will.

After one of them a caller sends again what may run only once, so a result code may have
one of them only if the request has not run."""


@unique
class ResultCode(IntEnum):
    """Result code of a request; the hundreds group codes by the action to take."""

    OK = 0
    # 1xx: the request is invalid; repeating it unchanged does not help.
    INVALID_REQUEST = 100
    BODY_NOT_JSON = 101
    BODY_TOO_LARGE = 102
    UNKNOWN_MODEL = 103
    UNKNOWN_ROUTE = 104
    BAD_CREDENTIALS = 105
    IDEMPOTENCY_KEY_MISSING = 106
    IDEMPOTENCY_KEY_REUSED = 107
    INVALID_DEADLINE = 108
    METHOD_NOT_ALLOWED = 109
    HEADERS_TOO_LARGE = 110
    NOT_FOUND = 111
    FORBIDDEN = 112
    # 2xx: refused before it ran; the caller may retry after Retry-After.
    RATE_LIMITED = 200
    TOO_MANY_CONCURRENT = 201
    DEADLINE_UNREACHABLE = 202
    QUEUE_FULL = 203
    NO_UPSTREAM = 204
    STORE_UNAVAILABLE = 205
    NOT_READY = 206
    DRAINING = 207
    QUARANTINED = 208
    UPSTREAM_REFUSED = 209
    STALE_CONFIGURATION = 210
    STREAM_ORIGIN_UNKNOWN = 211
    STREAM_VERSION_GONE = 212
    MEMORY_FULL = 213
    # 3xx: the request may have run.
    OUTCOME_UNKNOWN = 300
    CALL_IN_PROGRESS = 301
    STREAM_BROKEN = 302
    UPSTREAM_FAILED = 303
    UPSTREAM_TIMEOUT = 304
    RETRY_BUDGET_SPENT = 305
    DEADLINE_EXCEEDED = 306
    CUT_BY_SHUTDOWN = 307
    CALLER_GONE = 308
    CALLER_TOO_SLOW = 309
    ANSWER_NOT_HELD = 310
    # 4xx: catalogue edits and settings.
    CATALOGUE_INVALID = 400
    EDIT_CONFLICT = 401
    EDIT_OUTCOME_UNKNOWN = 402
    SETTINGS_INVALID = 403
    # 5xx: communication between routers and with the store.
    PEER_REJECTED = 500
    PEER_MESSAGE_INVALID = 501
    STORE_CONFLICT = 502
    LEASE_LOST = 503
    # 9xx: internal error.
    INTERNAL = 900


class RunStatus(Enum):
    """Whether an upstream may have started the request."""

    NO = "no"
    """It did not reach an upstream, or the upstream refused it before running."""
    YES = "yes"
    """An upstream ran it."""
    UNKNOWN = "unknown"
    """It may have run; the router cannot determine it."""


@dataclass(frozen=True)
class ResultInfo:
    """Description of one result code for callers and the documentation."""

    status: int
    """HTTP status of a response with this code."""
    ran: RunStatus
    """Whether the request may have run."""
    may_repeat: bool
    """Whether repeating the same request later is safe and useful."""
    advice: str
    """What the caller should do, in one sentence."""


def _info(status: int, ran: RunStatus, may_repeat: bool, advice: str) -> ResultInfo:
    return ResultInfo(status, ran, may_repeat, advice)


_NOT_RUN: Final = RunStatus.NO
_MAY_HAVE_RUN: Final = RunStatus.UNKNOWN
_RETRY_LATER: Final = "Come back after Retry-After."

RESULT_INFO: Final[dict[ResultCode, ResultInfo]] = {
    ResultCode.OK: _info(200, RunStatus.YES, True, "Nothing to do."),
    ResultCode.INVALID_REQUEST: _info(400, _NOT_RUN, False, "Correct the named field."),
    ResultCode.BODY_NOT_JSON: _info(
        400, _NOT_RUN, False, "Send a JSON object as body."
    ),
    ResultCode.BODY_TOO_LARGE: _info(413, _NOT_RUN, False, "Send a smaller body."),
    ResultCode.UNKNOWN_MODEL: _info(
        404, _NOT_RUN, False, "Name a model or adapter that /v1/models lists."
    ),
    ResultCode.UNKNOWN_ROUTE: _info(
        404, _NOT_RUN, False, "Name an application route of the catalogue."
    ),
    ResultCode.BAD_CREDENTIALS: _info(
        401, _NOT_RUN, False, "Send the account key as a bearer token."
    ),
    ResultCode.IDEMPOTENCY_KEY_MISSING: _info(
        400,
        _NOT_RUN,
        False,
        "Send an Idempotency-Key header; this route is not repeatable.",
    ),
    ResultCode.IDEMPOTENCY_KEY_REUSED: _info(
        422, _NOT_RUN, False, "Use a new key: this one belongs to another body."
    ),
    ResultCode.INVALID_DEADLINE: _info(
        400, _NOT_RUN, False, "Send the remaining time in milliseconds, above zero."
    ),
    ResultCode.METHOD_NOT_ALLOWED: _info(
        405, _NOT_RUN, False, "Use a method that the route allows."
    ),
    ResultCode.HEADERS_TOO_LARGE: _info(
        431, _NOT_RUN, False, "Send fewer header bytes."
    ),
    ResultCode.NOT_FOUND: _info(404, _NOT_RUN, False, "Check the path."),
    ResultCode.FORBIDDEN: _info(
        403, _NOT_RUN, False, "Ask the entry's owner for access."
    ),
    ResultCode.RATE_LIMITED: _info(429, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.TOO_MANY_CONCURRENT: _info(429, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.DEADLINE_UNREACHABLE: _info(
        503, _NOT_RUN, True, "Come back after Retry-After, or allow more time."
    ),
    ResultCode.QUEUE_FULL: _info(503, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.NO_UPSTREAM: _info(503, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.STORE_UNAVAILABLE: _info(503, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.NOT_READY: _info(503, _NOT_RUN, True, "Try another instance."),
    ResultCode.DRAINING: _info(503, _NOT_RUN, True, "Try another instance."),
    ResultCode.QUARANTINED: _info(
        503,
        _NOT_RUN,
        True,
        "Come back after Retry-After; this request crashed upstreams.",
    ),
    ResultCode.UPSTREAM_REFUSED: _info(503, _NOT_RUN, True, _RETRY_LATER),
    ResultCode.STALE_CONFIGURATION: _info(503, _NOT_RUN, True, "Try another instance."),
    ResultCode.STREAM_ORIGIN_UNKNOWN: _info(
        503, _NOT_RUN, True, "Resume at another instance, or begin the stream anew."
    ),
    ResultCode.STREAM_VERSION_GONE: _info(
        503, _NOT_RUN, True, "Resume after Retry-After, or begin the stream anew."
    ),
    ResultCode.MEMORY_FULL: _info(
        503, _NOT_RUN, True, "Read the open answers, or come back after Retry-After."
    ),
    ResultCode.OUTCOME_UNKNOWN: _info(
        502,
        _MAY_HAVE_RUN,
        False,
        "Ask the service whether it ran; it is not sent again.",
    ),
    ResultCode.CALL_IN_PROGRESS: _info(
        409, _MAY_HAVE_RUN, True, "Repeat with the same key after Retry-After."
    ),
    ResultCode.STREAM_BROKEN: _info(
        502, RunStatus.YES, True, "Repeat the request; what came before is incomplete."
    ),
    ResultCode.UPSTREAM_FAILED: _info(502, _MAY_HAVE_RUN, True, "Repeat the request."),
    ResultCode.UPSTREAM_TIMEOUT: _info(504, _MAY_HAVE_RUN, True, "Repeat the request."),
    ResultCode.RETRY_BUDGET_SPENT: _info(502, _MAY_HAVE_RUN, True, _RETRY_LATER),
    ResultCode.DEADLINE_EXCEEDED: _info(
        504, _MAY_HAVE_RUN, True, "Repeat with a longer deadline."
    ),
    ResultCode.CUT_BY_SHUTDOWN: _info(
        502, _MAY_HAVE_RUN, True, "Repeat the request on another instance."
    ),
    ResultCode.CALLER_GONE: _info(
        499, _MAY_HAVE_RUN, True, "Seen in records alone: the caller left first."
    ),
    ResultCode.CALLER_TOO_SLOW: _info(
        499, _MAY_HAVE_RUN, True, "Seen in records alone: read the answers faster."
    ),
    ResultCode.ANSWER_NOT_HELD: _info(
        502, _MAY_HAVE_RUN, True, "Read the other answers, then repeat the request."
    ),
    ResultCode.CATALOGUE_INVALID: _info(
        422, _NOT_RUN, False, "Correct the named entry and field."
    ),
    ResultCode.EDIT_CONFLICT: _info(
        409, _NOT_RUN, False, "Read the newer change, then base the edit on it."
    ),
    ResultCode.EDIT_OUTCOME_UNKNOWN: _info(
        502, _MAY_HAVE_RUN, True, "Run the same edit again; its edit id settles it."
    ),
    ResultCode.SETTINGS_INVALID: _info(
        400, _NOT_RUN, False, "Correct the named line of the settings file."
    ),
    ResultCode.PEER_REJECTED: _info(
        403, _NOT_RUN, False, "Check that both instances have the same peer key."
    ),
    ResultCode.PEER_MESSAGE_INVALID: _info(
        400, _NOT_RUN, False, "Check that both instances run compatible versions."
    ),
    ResultCode.STORE_CONFLICT: _info(
        409, _NOT_RUN, True, "Read the object again, then repeat the update."
    ),
    ResultCode.LEASE_LOST: _info(409, _NOT_RUN, True, "The next holder takes over."),
    ResultCode.INTERNAL: _info(
        500, _MAY_HAVE_RUN, False, "Report the request id to the operators."
    ),
}
"""Description of each code; a test checks that no code is missing."""
