"""Conversion between streamed and complete chat completions."""

import json

DATA_PREFIX = b"data: "
USAGE_FIELD = b'"usage"'


class CompletionBuilder:
    """Collects the events of one answer, over all its attempts.

    Events are stored unparsed; only those that may hold token usage are parsed at once.
    """

    def __init__(self):
        self._events = []
        self._usage_chunk = None

    @property
    def events(self):
        """The content events received so far."""
        return tuple(self._events)

    @property
    def position(self):
        """The number of content events received so far."""
        return len(self._events)

    def add(self, event):
        """Add an event; return whether it has content, and not only token usage."""
        if USAGE_FIELD in event:
            chunk = json.loads(event[len(DATA_PREFIX) :])
            if not chunk.get("choices") and chunk.get("usage"):
                self._usage_chunk = chunk
                return False
        self._events.append(event)
        return True

    @property
    def tokens(self):
        """The token count that the upstream reported, or the number of events."""
        if self._usage_chunk:
            return int(self._usage_chunk["usage"]["total_tokens"])
        return len(self._events)

    @property
    def usage_event(self):
        """The event with the token usage that the upstream reported, or None."""
        if self._usage_chunk is None:
            return None
        return DATA_PREFIX + json.dumps(self._usage_chunk).encode()

    def build(self):
        """Return the answer as a chat completion object; needs at least one event."""
        chunks = [json.loads(event[len(DATA_PREFIX) :]) for event in self._events]
        choices = {}
        for chunk in chunks:
            for choice in chunk["choices"]:
                _merge_choice(choices, choice)
        first_chunk = chunks[0]
        return {
            "id": first_chunk["id"],
            "object": "chat.completion",
            "created": first_chunk["created"],
            "model": first_chunk["model"],
            "choices": [choices[index] for index in sorted(choices)],
            "usage": self._usage_chunk["usage"] if self._usage_chunk else None,
        }

    def is_empty(self):
        """Return whether the answer has neither content nor tool calls."""
        if len(self._events) > 2:
            return False
        for event in self._events:
            for choice in json.loads(event[len(DATA_PREFIX) :])["choices"]:
                delta = choice["delta"]
                if delta.get("content") or delta.get("tool_calls"):
                    return False
        return True


def get_text(completion):
    """Return the text of a completion's first choice."""
    return completion["choices"][0]["message"].get("content") or ""


def split_into_events(completion):
    """Yield a completion as the events of a stream."""
    common = {key: completion[key] for key in ("id", "created", "model")}
    common["object"] = "chat.completion.chunk"
    for choice in completion["choices"]:
        delta = dict(choice["message"])
        for number, tool_call in enumerate(delta.get("tool_calls", ())):
            tool_call.setdefault("index", number)
        for streamed_delta, finish_reason in (
            (delta, None),
            ({}, choice["finish_reason"]),
        ):
            streamed_choice = {
                "index": choice["index"],
                "delta": streamed_delta,
                "finish_reason": finish_reason,
            }
            yield (
                DATA_PREFIX
                + json.dumps({**common, "choices": [streamed_choice]}).encode()
            )


def _merge_choice(choices, streamed_choice):
    index = streamed_choice["index"]
    choice = choices.setdefault(
        index,
        {
            "index": index,
            "message": {"role": "assistant", "content": None},
            "finish_reason": None,
        },
    )
    choice["finish_reason"] = (
        streamed_choice.get("finish_reason") or choice["finish_reason"]
    )
    message = choice["message"]
    for key, value in streamed_choice["delta"].items():
        if key == "tool_calls":
            _merge_tool_calls(message.setdefault("tool_calls", []), value)
        elif key == "role":
            message["role"] = value
        elif value is not None:
            message[key] = (message.get(key) or "") + value


def _merge_tool_calls(tool_calls, streamed_calls):
    for streamed_call in streamed_calls:
        streamed_call = dict(streamed_call)
        index = streamed_call.pop("index", len(tool_calls))
        while len(tool_calls) <= index:
            tool_calls.append({"function": {"name": "", "arguments": ""}})
        function = streamed_call.pop("function", {})
        tool_calls[index].update(
            {key: value for key, value in streamed_call.items() if value}
        )
        for key, value in function.items():
            tool_calls[index]["function"][key] += value or ""
