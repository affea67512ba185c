"""Base classes of the project's exceptions.

Each module derives its own exceptions from ``CorianderError``, next to the code that
raises them. Error messages say how to fix the problem.
"""

from __future__ import annotations

from .result import ResultCode


class CorianderError(Exception):
    """Base class of all exceptions that this project raises."""

    code: ResultCode = ResultCode.INTERNAL
    """Result code reported to the caller or operator if the error is not handled."""


class InvalidInputError(CorianderError):
    """Raised for invalid external input; the message names the field and the fix."""

    code = ResultCode.INVALID_REQUEST
