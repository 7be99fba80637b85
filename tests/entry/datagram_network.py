"""Datagrams between instances that are delivered at once, late or never."""

import types


class Network:
    """Delivers datagrams at once, or keeps those that *holds* is true for."""

    def __init__(self):
        self.handlers = {}
        self.holds = lambda kind, address: False
        self.held = []
        self.sent_kinds = []
        self._last = {}

    def add(self, address):
        """Return a transport for *address*."""
        handlers = self.handlers[address] = {}
        return types.SimpleNamespace(handle=handlers.__setitem__, send=self.send)

    def send(self, kind, body, addresses):
        for address in addresses:
            self.sent_kinds.append(kind.name)
            self._last[kind] = (body, address)
            if self.holds(kind, address):
                self.held.append((kind, body, address))
            else:
                self.handlers[address][kind](body)
        return True

    def repeat_last(self, kind):
        """Deliver the last datagram of *kind* once more."""
        body, address = self._last[kind]
        self.handlers[address][kind](body)

    def deliver_held(self):
        held, self.held = self.held, []
        self.holds = lambda kind, address: False
        for kind, body, address in held:
            self.handlers[address][kind](body)
