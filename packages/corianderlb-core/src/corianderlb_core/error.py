"""The root of the exception tree.

Each module derives its own exceptions from ``CorianderError``, close to the code that
raises them. Messages tell the reader what to do next.
"""

from __future__ import annotations

from .result import ResultCode


class CorianderError(Exception):
    """Be the base of every error that this project raises on purpose.

    ``code`` is the numbered result a caller or an operator sees when the error reaches
    the border of a process.
    """

    code: ResultCode = ResultCode.INTERNAL
    """The result code that this error turns into at the border."""


class InvalidInputError(CorianderError):
    """Signal input from outside that cannot be taken, naming field and remedy."""

    code = ResultCode.INVALID_REQUEST
