"""Put the events of a checked stream together into one whole answer.

The router always asks an engine for a stream, also when the caller wants a whole
answer: only a stream shows that the engine still works, and only a stream can be
resumed. The deltas are merged here as the usual protocol defines them.
"""

from __future__ import annotations

from typing import Any, Final

import msgspec

from .stream import EVENT_END, TERMINAL

_DATA: Final = b"\ndata: "

_ONCE: Final = frozenset({"id", "type", "role", "object", "model"})
"""Fields that are sent whole, so that a later value replaces an earlier one."""

_WHOLE_OBJECT: Final = {
    "chat.completion.chunk": "chat.completion",
    "text_completion.chunk": "text_completion",
}


def assemble_answer(stream: bytes) -> bytes:
    """Return the whole answer, as JSON, that the events of a stream make up.

    The stream must have passed the ``StreamAssembler``.
    """
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for event in stream.split(EVENT_END):
        data = event.partition(_DATA)[2]
        if not data or data == TERMINAL[: -len(EVENT_END)]:
            continue
        plain = msgspec.json.decode(data)
        for choice in plain.pop("choices", ()):
            merged = choices.setdefault(choice.get("index", 0), {})
            _merge(merged, choice)
        answer.update(plain)
    answer["object"] = _WHOLE_OBJECT.get(answer.get("object", ""), "text_completion")
    answer["choices"] = [_whole(choices[index]) for index in sorted(choices)]
    return msgspec.json.encode(answer)


def extract_usage(event: bytes) -> dict[str, Any]:
    """Return the usage that the last event of a stream reports, or an empty map."""
    data = event.partition(_DATA)[2]
    try:
        usage = msgspec.json.decode(data).get("usage")
    except (msgspec.DecodeError, AttributeError):
        return {}
    return usage if isinstance(usage, dict) else {}


def _whole(choice: dict[str, Any]) -> dict[str, Any]:
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
        elif isinstance(value, str) and isinstance(earlier, str) and name not in _ONCE:
            into[name] = earlier + value
        else:
            into[name] = value


def _merge_list(into: list[Any], delta: list[Any]) -> None:
    """Merge items that carry an index with their earlier parts; append the others."""
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
