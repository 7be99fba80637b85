"""Putting a streamed answer together."""

import json

CONTENT_PREFIX = b"data: "
USAGE_MARK = b'"usage"'


class CompletionBuilder:
    """Collects the events of one answer, from however many attempts.

    Events are kept as they came and read only when the whole is needed.
    """

    def __init__(self):
        self._events = []
        self._usage = None

    @property
    def events(self):
        """The content events so far."""
        return tuple(self._events)

    @property
    def position(self):
        """The number of content events so far."""
        return len(self._events)

    def add(self, event):
        """Take an event; return whether it is content for the caller."""
        if USAGE_MARK in event:
            usage = json.loads(event[len(CONTENT_PREFIX) :])
            if not usage.get("choices") and usage.get("usage"):
                self._usage = usage
                return False
        self._events.append(event)
        return True

    @property
    def tokens(self):
        """The tokens that the engine counted, or our count of events."""
        if self._usage:
            return int(self._usage["usage"]["total_tokens"])
        return len(self._events)

    @property
    def usage_event(self):
        """The event with the engine's count, or None."""
        if self._usage is None:
            return None
        return CONTENT_PREFIX + json.dumps(self._usage).encode()

    def build(self):
        """Return the answer as a chat completion object."""
        chunks = [json.loads(event[len(CONTENT_PREFIX) :]) for event in self._events]
        choices = {}
        for chunk in chunks:
            for choice in chunk["choices"]:
                _merge_choice(choices, choice)
        head = chunks[0]
        return {
            "id": head["id"],
            "object": "chat.completion",
            "created": head["created"],
            "model": head["model"],
            "choices": [choices[index] for index in sorted(choices)],
            "usage": self._usage["usage"] if self._usage else None,
        }

    def is_empty(self):
        """Return whether the answer says nothing at all."""
        if len(self._events) > 2:
            return False
        for event in self._events:
            for choice in json.loads(event[len(CONTENT_PREFIX) :])["choices"]:
                delta = choice["delta"]
                if delta.get("content") or delta.get("tool_calls"):
                    return False
        return True


def get_text(completion):
    """Return the text of a completion's first choice."""
    return completion["choices"][0]["message"].get("content") or ""


def split_into_events(completion):
    """Yield a whole completion as the events of a stream."""
    head = {key: completion[key] for key in ("id", "created", "model")}
    head["object"] = "chat.completion.chunk"
    for choice in completion["choices"]:
        delta = dict(choice["message"])
        for number, tool_call in enumerate(delta.get("tool_calls", ())):
            tool_call.setdefault("index", number)
        for part, reason in ((delta, None), ({}, choice["finish_reason"])):
            row = {"index": choice["index"], "delta": part, "finish_reason": reason}
            yield CONTENT_PREFIX + json.dumps({**head, "choices": [row]}).encode()


def _merge_choice(choices, part):
    index = part["index"]
    choice = choices.setdefault(
        index,
        {
            "index": index,
            "message": {"role": "assistant", "content": None},
            "finish_reason": None,
        },
    )
    choice["finish_reason"] = part.get("finish_reason") or choice["finish_reason"]
    message = choice["message"]
    for key, value in part["delta"].items():
        if key == "tool_calls":
            _merge_tool_calls(message.setdefault("tool_calls", []), value)
        elif key == "role":
            message["role"] = value
        elif value is not None:
            message[key] = (message.get(key) or "") + value


def _merge_tool_calls(known, parts):
    for part in parts:
        part = dict(part)
        index = part.pop("index", len(known))
        while len(known) <= index:
            known.append({"function": {"name": "", "arguments": ""}})
        function = part.pop("function", {})
        known[index].update({key: value for key, value in part.items() if value})
        for key, value in function.items():
            known[index]["function"][key] += value or ""
