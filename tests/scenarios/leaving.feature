Feature: Leaving loses nothing

  Background:
    Given a stack of four entries in two zones

  Scenario: An upstream that is leaving gets no new work although the list lags
    Given engine "engine-0" says that it is leaving
    When the entries have heard of it
    And 12 questions are asked through entry 0
    Then all 12 answers are whole
    And "engine-0" got no new work since

  Scenario: SIGTERM cuts off no stream and still serves new connections
    Given a slow stream through entry 0
    When entry 0 is asked to leave
    And a question is asked of entry 0 while it leaves
    Then all 2 answers are whole
    And entry 0 ended with code 0
    And exactly 2 requests are billed

  Scenario: All entries are replaced under load
    Given callers that retry keep sending bookings and questions
    When every entry is replaced in turn under load
    And the callers stop
    Then every booking has run once
    And every request ended up answered and billed once

  Scenario: A link between entries falls silent and comes back
    When zone-a is cut off
    And every entry knows only its own zone
    And the cut heals
    Then every entry knows all four again
