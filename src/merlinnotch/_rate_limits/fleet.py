"""What permits need of the fleet and of the links between its instances."""

import abc

ANSWER_TIMEOUT_S = 0.15
"""Longest wait of a caller's request for the answer to a question."""


class PermitFleet(abc.ABC):
    """The instances and upstreams, as one instance knows them."""

    @abc.abstractmethod
    def find_issuer(self, upstream):
        """Return the name of the instance that issues permits of *upstream*, or None.

        All instances with the same view of the fleet find the same one.
        """

    @abc.abstractmethod
    def find_upstream(self, start):
        """Return the listed upstream of *start*, or None."""

    @abc.abstractmethod
    def make_start(self, fields):
        """Return the start of an upstream from its fields."""

    @abc.abstractmethod
    def is_connected(self):
        """Return whether this instance's view of the fleet is current."""


class PermitLink(abc.ABC):
    """Messages about permits to other instances. Any of them may be lost."""

    @abc.abstractmethod
    def ask(self, issuer, question):
        """Return the :class:`PermitAnswer` of the instance *issuer*, None without one.

        Waits for ANSWER_TIMEOUT_S at most.
        """

    @abc.abstractmethod
    def give_back(self, issuer, permit_return):
        """Send a :class:`PermitReturn` to the instance *issuer*."""

    @abc.abstractmethod
    def report(self, issuer, report):
        """Send a :class:`LimitReport` to the instance *issuer*."""

    @abc.abstractmethod
    def announce(self, report):
        """Send a :class:`LimitReport` to all other instances."""
