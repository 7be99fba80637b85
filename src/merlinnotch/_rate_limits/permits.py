"""Permits for limited upstreams, which one instance issues to all."""

import time

from .issuer import PermitIssuer
from .issuers import compute_issue_rate
from .messages import (
    LimitReport,
    PermitAnswer,
    PermitQuestion,
    PermitReturn,
    encode_start,
)
from .permit import NO_PERMIT_NEEDED, Permit, PermitDecision, PermitRequest
from .reading import LimitReading, make_report
from .recorder import LimitRecorder
from .source import LimitSource

PERMIT_LIFETIME_S = 0.4
"""Time from the question until the request is sent, which includes connecting."""
OTHER_ISSUER_WAIT_S = 0.5
"""Wait of an asker whose view of the fleet is not that of the instance it asks."""
ANNOUNCEMENT_INTERVAL_S = 1.0
"""Least time between two announcements of one upstream's limit."""


class Permits:
    """Gets permits from the instances that issue them, and issues some itself.

    For each limited upstream one instance issues the permits of all. It learns limits
    from questions and reports, and announces a new or lower one to all instances. Only
    responses that it permitted raise or end a limit, as the order of others is unknown
    to it. The end reaches other instances with the answer to their next question.

    Messages may be lost. A lost question or answer costs a permit; a lost report is
    repeated by the next response.

    *name* is this instance. *fleet* is a :class:`PermitFleet`, *link* a
    :class:`PermitLink`, *book* a :class:`LimitBook`, *schedule* a
    :class:`PermitSchedule`. *count* is called with the result of each question:
    "issued", "denied", "unanswered" or "returned".
    """

    def __init__(self, name, fleet, link, book, schedule, read_clock, count):
        self._name = name
        self._fleet = fleet
        self._link = link
        self._book = book
        self._schedule = schedule
        self._read_clock = read_clock
        self._count = count
        self._recorder = LimitRecorder(book)
        self._issuer = PermitIssuer(first_id=time.time_ns())
        self._announced_at = {}

    def acquire(self, upstream, is_urgent):
        """Return a :class:`Permit` to send a request to *upstream*, or None.

        Waits for the answer of its issuer. *is_urgent* says that the request can go
        nowhere else.
        """
        start = upstream.start
        if self._book.get(start) is None:
            return NO_PERMIT_NEEDED
        asked_at = self._read_clock()
        issuer = self._fleet.find_issuer(upstream)
        if issuer == self._name:
            request = PermitRequest(self._name, is_urgent)
            decision = self._issue(upstream, request, asked_at)
        else:
            decision = self._ask(start, issuer, is_urgent, asked_at)
        if self._book.get(start) is None:
            return NO_PERMIT_NEEDED
        return self._apply_decision(start, issuer, decision, is_urgent, asked_at)

    def give_back(self, permit):
        """Return a *permit* that was not used to its issuer."""
        if permit.id == 0:
            return
        self._count("returned")
        if permit.issuer == self._name:
            self._issuer.give_back(permit.start, permit.id)
            return
        message = PermitReturn(encode_start(permit.start), permit.id)
        self._link.give_back(permit.issuer, message)

    def record_response(self, upstream, per_s, may_end, asked_at, now, permit):
        """Record the limit *per_s* of a response, None if it names none.

        The request was sent at *asked_at* under *permit*, the response read at *now*.
        *may_end* says whether a response without a limit ends it, as only those of
        requests that the upstream ran do.

        Return whether the limit changes. The issuer then gets a report.
        """
        if per_s is None and not may_end:
            return False
        start = upstream.start
        reading = LimitReading(per_s, asked_at, now)
        previous_per_s = self._book.get(start)
        if not self._recorder.record(start, reading, LimitSource.ANSWER, now):
            return False
        issuer = self._fleet.find_issuer(upstream)
        if issuer == self._name:
            self._announce(start, previous_per_s, now)
        elif issuer is not None:
            report = LimitReport(encode_start(start), permit.id, per_s)
            self._link.report(issuer, report)
        return True

    def report_limit(self, start, name):
        """Report the limit of *start* to the instance *name*, if there is one."""
        per_s = self._book.get(start)
        if per_s is not None:
            self._link.report(name, LimitReport(encode_start(start), 0, per_s))

    def forget(self, start):
        """Drop what belongs to an upstream that was removed."""
        self._schedule.drop(start)
        self._announced_at.pop(start, None)

    def forget_start(self, start):
        """Drop also the limit of a start that has ended."""
        self.forget(start)
        self._book.drop(start)
        self._issuer.drop(start)

    def handle_question(self, question):
        """Return the :class:`PermitAnswer` to another instance's question."""
        now = self._read_clock()
        start = self._fleet.make_start(question.start)
        self._record_report(start, question.per_s, now - question.age_s, now)
        upstream = self._fleet.find_upstream(start)
        decision = PermitDecision(0, OTHER_ISSUER_WAIT_S)
        if upstream is not None:
            request = PermitRequest(question.asker, question.is_urgent)
            decision = self._issue(upstream, request, now)
        reading = self._book.get_reading(start)
        return PermitAnswer(
            decision.permit_id,
            decision.wait_s,
            reading.per_s,
            now - reading.answered_at,
        )

    def handle_return(self, permit_return):
        """Make a permit available again that another instance did not use."""
        start = self._fleet.make_start(permit_return.start)
        self._issuer.give_back(start, permit_return.permit_id)

    def handle_report(self, report):
        """Record the limit that another instance reports."""
        now = self._read_clock()
        start = self._fleet.make_start(report.start)
        issued_at = self._issuer.get_issued_at(start, report.permit_id)
        if issued_at is not None:
            self._record(start, LimitReading(report.per_s, issued_at, now), now)
        elif report.per_s is not None:
            self._record_report(start, report.per_s, now, now)

    def _issue(self, upstream, request, now):
        """Return this instance's decision as the issuer for *upstream*."""
        per_s = self._book.get(upstream.start)
        if per_s is None or self._fleet.find_issuer(upstream) != self._name:
            return PermitDecision(0, OTHER_ISSUER_WAIT_S)
        rate = compute_issue_rate(per_s, self._fleet.is_connected())
        return self._issuer.issue(upstream.start, rate, request, now)

    def _ask(self, start, issuer, is_urgent, asked_at):
        """Return the decision of another instance, None if it does not answer."""
        if issuer is None:
            return None
        reading = self._book.get_reading(start)
        question = PermitQuestion(
            self._name,
            encode_start(start),
            is_urgent,
            reading.per_s,
            asked_at - reading.answered_at,
        )
        answer = self._link.ask(issuer, question)
        if answer is None:
            return None
        self._adopt_limit(start, answer, asked_at)
        return PermitDecision(answer.permit_id, answer.wait_s)

    def _adopt_limit(self, start, answer, asked_at):
        """Record the limit in an answer of the issuer.

        A response of the upstream that was received after the question was sent may be
        newer. What is known already keeps its time, which would otherwise grow by the
        delay of each answer.
        """
        current = self._book.get_reading(start)
        if current is None or current.per_s == answer.per_s:
            return
        now = self._read_clock()
        reading = make_report(answer.per_s, now - answer.age_s)
        if current.answered_at > asked_at:
            self._recorder.record(start, reading, LimitSource.PEER, now)
        else:
            self._recorder.replace(start, reading, LimitSource.PEER, now)

    def _apply_decision(self, start, issuer, decision, is_urgent, asked_at):
        now = self._read_clock()
        if decision is None:
            self._count("unanswered")
            self._schedule.record_unanswered(start, now)
            return None
        if not decision.is_issued:
            self._count("denied")
            self._schedule.record_denied(start, decision.wait_s, now, is_urgent)
            return None
        self._count("issued")
        self._schedule.record_issued(start)
        return Permit(start, decision.permit_id, issuer, asked_at + PERMIT_LIFETIME_S)

    def _record_report(self, start, per_s, answered_at, now):
        self._record(start, make_report(per_s, answered_at), now)

    def _record(self, start, reading, now):
        previous_per_s = self._book.get(start)
        if not self._recorder.record(start, reading, LimitSource.PEER, now):
            return
        upstream = self._fleet.find_upstream(start)
        if upstream is not None and self._fleet.find_issuer(upstream) == self._name:
            self._announce(start, previous_per_s, now)

    def _announce(self, start, previous_per_s, now):
        """Tell all instances of a limit that is new or lower than before."""
        per_s = self._book.get(start)
        if per_s is None or (previous_per_s is not None and per_s >= previous_per_s):
            return
        announced_at = self._announced_at.get(start)
        if announced_at is not None and now - announced_at < ANNOUNCEMENT_INTERVAL_S:
            return
        self._announced_at[start] = now
        self._link.announce(LimitReport(encode_start(start), 0, per_s))
