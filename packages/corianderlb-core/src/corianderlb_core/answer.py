"""Merge the events of a verified stream into one non-streaming answer.

The router always requests a stream from the engine, even if the caller did not: a
stream shows that the engine is making progress, and it can be resumed. Deltas are
merged as the chat and text completion protocol defines.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from .stream import EVENT_END, TERMINAL

_DATA_FIELD: Final = b"\ndata: "

_REPLACED_FIELDS: Final = frozenset({"id", "type", "role", "object", "model"})
"""String fields in which a later value replaces an earlier one."""

_COMPLETE_OBJECTS: Final = {
    "chat.completion.chunk": "chat.completion",
    "text_completion.chunk": "text_completion",
}


def assemble_answer(stream: bytes) -> bytes:
    """Return the JSON answer assembled from the events of a stream.

    The stream must have been verified by ``StreamAssembler``.
    """
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for event in stream.split(EVENT_END):
        data = event.partition(_DATA_FIELD)[2]
        if not data or data == TERMINAL[: -len(EVENT_END)]:
            continue
        plain = msgspec.json.decode(data)
        for choice in plain.pop("choices", ()):
            merged = choices.setdefault(choice.get("index", 0), {})
            _merge(merged, choice)
        answer.update(plain)
    answer["object"] = _COMPLETE_OBJECTS.get(
        answer.get("object", ""), "text_completion"
    )
    answer["choices"] = [_complete_choice(choices[index]) for index in sorted(choices)]
    return msgspec.json.encode(answer)


def extract_usage(event: bytes) -> dict[str, Any]:
    """Return the usage from the last event of a stream, or an empty dict."""
    data = event.partition(_DATA_FIELD)[2]
    try:
        usage = msgspec.json.decode(data).get("usage")
    except (msgspec.DecodeError, AttributeError):
        return {}
    return usage if isinstance(usage, dict) else {}


def _complete_choice(choice: dict[str, Any]) -> dict[str, Any]:
    if "delta" in choice:
        choice["message"] = {"role": "assistant", **choice.pop("delta")}
    return choice


def _merge(into: dict[str, Any], delta: dict[str, Any]) -> None:
    for name, value in delta.items():
        earlier = into.get(name)
        if value is None:
            into.setdefault(name, None)
        elif isinstance(value, dict) and isinstance(earlier, dict):
            _merge(earlier, value)
        elif isinstance(value, list) and isinstance(earlier, list):
            _merge_list(earlier, value)
        elif (
            isinstance(value, str)
            and isinstance(earlier, str)
            and name not in _REPLACED_FIELDS
        ):
            into[name] = earlier + value
        else:
            into[name] = value


def _merge_list(into: list[Any], delta: list[Any]) -> None:
    """Merge items into earlier ones with the same index; append all others."""
    for item in delta:
        index = item.get("index") if isinstance(item, dict) else None
        earlier = [
            known
            for known in into
            if isinstance(known, dict) and known.get("index") == index
        ]
        if index is None or not earlier:
            into.append(item)
        else:
            _merge(earlier[0], item)
