"""Parse, authenticate and validate a caller's request.

These checks run before anything is sent upstream, so a refusal may state that the
request did not run.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any, Final

import msgspec

from corianderlb_core import header
from corianderlb_core.catalogue import (
    Account,
    Adapter,
    Catalogue,
    EntryKind,
    Model,
    Route,
    ServiceClass,
)
from corianderlb_core.data_class import dataclass
from corianderlb_core.identity import AccountId
from corianderlb_core.prefix import (
    PrefixScope,
    adapter_label,
    cache_salt,
    prefix_keys,
    prompt_text,
)
from corianderlb_core.request import RequestFacts
from corianderlb_core.result import ResultCode

from .caller import CallerExchange, refuse
from .request_check import body_digest

BEARER: Final = "Bearer "
"""Scheme of the authorization header."""

SERVICE_PREFIX: Final = "/services/"
"""Path prefix of application routes."""

CHARS_PER_TOKEN: Final = 4
"""Estimated length of a token, used before an engine has counted the tokens."""

MAX_DEADLINE_MS: Final = 24 * 3600 * 1000
"""Longest deadline that a caller may set."""


@dataclass(frozen=True)
class CompletionRequest:
    """A validated completion request."""

    facts: RequestFacts
    model: Model
    path: str
    body: bytes
    """Body for the engine; it always requests a stream."""
    wants_stream: bool
    scope: PrefixScope
    """Its salt prevents engines from sharing cache entries between accounts."""


@dataclass(frozen=True)
class ServiceRequest:
    """A validated request for an application route."""

    facts: RequestFacts
    route: Route
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str


def authenticate(authorization: str | None, catalogue: Catalogue) -> Account:
    """Return the account whose key an authorization header carries.

    Compares all digests, each in constant time, so that the response time reveals
    neither a partial match nor an account's position in the catalogue.
    """
    sent = authorization or ""
    key = sent[len(BEARER) :] if sent.startswith(BEARER) else ""
    digest = hashlib.sha256(key.encode()).hexdigest()
    found: Account | None = None
    for entry in catalogue.of_kind(EntryKind.ACCOUNT):
        for known in entry.key_digests:
            if hmac.compare_digest(known, digest):
                found = entry
    if found is None:
        raise refuse(ResultCode.BAD_CREDENTIALS, "No account has this key.")
    return found


def parse_completion(
    req: CallerExchange, body: bytes, catalogue: Catalogue, default_deadline_s: float
) -> CompletionRequest:
    """Parse and validate a completion request."""
    account = authenticate(req.header("authorization"), catalogue)
    plain = _json_object(body)
    model, adapter = _resolve_target(plain.get("model"), catalogue)
    target = adapter or model
    _check_allowed(account.models, target.name)
    wants_stream = _flag(plain, "stream")
    _check_prompt(req.path, plain)
    text = prompt_text(plain)
    salt = cache_salt(account.name, model.name)
    label = adapter_label(adapter.name, adapter.version) if adapter else ""
    scope = PrefixScope(salt, model.weights_version, label)
    facts = RequestFacts(
        request_id=req.request_id,
        account=AccountId(account.name),
        service_class=_service_class(req, account),
        target=target.name,
        upstream=model.upstream,
        arrived_at=req.arrived_at,
        deadline=deadline_of(req, default_deadline_s),
        body_digest=body_digest(account.name, body),
        prefix_keys=prefix_keys(text, scope, model.piece_chars),
        prompt_tokens=len(text) // CHARS_PER_TOKEN,
    )
    if not wants_stream:
        body = msgspec.json.encode({**plain, "stream": True})
    return CompletionRequest(facts, model, req.path, body, wants_stream, scope)


def parse_service_call(
    req: CallerExchange, body: bytes, catalogue: Catalogue, default_deadline_s: float
) -> ServiceRequest:
    """Parse and validate a request for ``/services/<route>/<path>``."""
    account = authenticate(req.header("authorization"), catalogue)
    rest = req.raw_path.decode("latin-1").removeprefix(SERVICE_PREFIX)
    name, _, path = rest.partition("/")
    route = catalogue.route(name)
    if route is None:
        raise refuse(ResultCode.UNKNOWN_ROUTE, f"The route {name!r} does not exist.")
    _check_allowed(account.routes, name)
    if req.method not in route.methods:
        allowed = ", ".join(route.methods)
        detail = f"The route {name!r} allows only {allowed}."
        raise refuse(ResultCode.METHOD_NOT_ALLOWED, detail)
    key = req.header(header.IDEMPOTENCY_KEY) or ""
    if not route.repeatable and not key:
        detail = f"The route {name!r} requires an idempotency key."
        raise refuse(ResultCode.IDEMPOTENCY_KEY_MISSING, detail)
    query = f"?{req.query.decode('latin-1')}" if req.query else ""
    facts = RequestFacts(
        request_id=req.request_id,
        account=AccountId(account.name),
        service_class=_service_class(req, account),
        target=name,
        upstream=route.upstream,
        arrived_at=req.arrived_at,
        deadline=deadline_of(req, default_deadline_s),
        repeatable=route.repeatable,
        body_digest=body_digest(
            account.name, f"{req.method} {rest}{query}\n".encode() + body
        ),
    )
    return ServiceRequest(
        facts, route, req.method, f"/{path}{query}", _forwarded_headers(req), body, key
    )


_FORWARDED_HEADERS: Final = frozenset({b"content-type", b"accept", b"idempotency-key"})


def _forwarded_headers(req: CallerExchange) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in req.raw_headers
        if name in _FORWARDED_HEADERS
    )


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        plain = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        detail = f"The body is not valid JSON ({exc})."
        raise refuse(ResultCode.BODY_NOT_JSON, detail) from exc
    if not isinstance(plain, dict):
        raise refuse(ResultCode.BODY_NOT_JSON, "The body is not a JSON object.")
    return plain


def _resolve_target(name: Any, catalogue: Catalogue) -> tuple[Model, Adapter | None]:
    if not isinstance(name, str) or not name:
        raise refuse(ResultCode.INVALID_REQUEST, "model: must be a non-empty string.")
    adapter = catalogue.adapter(name)
    model = catalogue.model(adapter.model if adapter else name)
    if model is None:
        raise refuse(ResultCode.UNKNOWN_MODEL, f"The model {name!r} does not exist.")
    return model, adapter


def _check_allowed(allowed: tuple[str, ...], name: str) -> None:
    if allowed and name not in allowed:
        raise refuse(ResultCode.FORBIDDEN, f"The account may not use {name!r}.")


def _flag(plain: dict[str, Any], name: str) -> bool:
    value = plain.get(name, False)
    if not isinstance(value, bool) and value is not None:
        raise refuse(ResultCode.INVALID_REQUEST, f"{name}: must be true or false.")
    return bool(value)


def _check_prompt(path: str, plain: dict[str, Any]) -> None:
    """Refuse a body without the prompt or messages that the path requires."""
    if path.endswith("/chat/completions"):
        messages = plain.get("messages")
        valid = isinstance(messages, list) and all(
            isinstance(message, dict) for message in messages
        )
        if not valid or not messages:
            raise refuse(
                ResultCode.INVALID_REQUEST, "messages: a list of objects is required."
            )
    elif not isinstance(plain.get("prompt"), str):
        raise refuse(ResultCode.INVALID_REQUEST, "prompt: must be a string.")


def _service_class(req: CallerExchange, account: Account) -> ServiceClass:
    text = req.header(header.SERVICE_CLASS)
    if text is None:
        return account.service_class
    try:
        return ServiceClass(text)
    except ValueError:
        allowed = ", ".join(known.value for known in ServiceClass)
        detail = f"{header.SERVICE_CLASS}: {text!r} is not one of {allowed}."
        raise refuse(ResultCode.INVALID_REQUEST, detail) from None


def deadline_of(req: CallerExchange, default_s: float) -> float:
    """Return the deadline of a request, on the router's clock."""
    text = req.header(header.DEADLINE_MS)
    if text is None:
        return req.arrived_at + default_s
    left_ms = int(text) if text.isdecimal() and len(text) < 10 else 0
    if not 0 < left_ms <= MAX_DEADLINE_MS:
        detail = (
            f"{header.DEADLINE_MS}: must be from 1 to {MAX_DEADLINE_MS}, got {text!r}."
        )
        raise refuse(ResultCode.INVALID_DEADLINE, detail)
    return req.arrived_at + left_ms / 1000
