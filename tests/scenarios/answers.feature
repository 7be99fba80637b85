Feature: A caller receives the whole answer to its own request

  Background:
    Given a stack of four entries in two zones

  Scenario: A stream breaks off and is resumed on the same version
    Given engines break off each stream after 4 tokens
    When a question is streamed through entry 0
    Then the stream is whole and ends with "[DONE]"
    And the words come once each and in order

  Scenario: A stream that cannot be finished says so
    Given only one engine is left
    When a long stream through entry 0 loses its engine
    Then the stream ends with an error event and without "[DONE]"
    And exactly 0 requests are billed

  Scenario: An engine falls silent in the middle of its answers
    Given engine "engine-0" falls silent
    When 6 questions are asked through entry 0
    Then all 6 answers are whole

  Scenario: Late answers never reach another caller
    Given engines answer late, some after their callers gave up
    When questions with short and long deadlines are mixed through entry 0
    Then every answer that came carries its own request's id

  Scenario: The caller goes away
    When a caller of entry 0 goes away in the middle of a stream
    Then the engine's run is cancelled
    And exactly 0 requests are billed

  Scenario: A non-idempotent call falls silent
    Given plain services run and never answer
    When booking "s-1" with a deadline of 700 ms is sent through entry 0
    Then the answer is 409 with outcome "unknown"
    And booking "s-1" has run 1 time
    When booking "s-1" is sent through entry 2
    Then the answer is 409 with outcome "unknown"
    And booking "s-1" has run 1 time

  Scenario: Nothing listens at the upstream of a non-idempotent call
    Given the plain services are gone
    When booking "s-2" is sent through entry 0
    Then the booking was refused as not run
    When the plain services are back
    Then booking "s-2" ends up answered when sent again

  Scenario: Bad input is refused at once and nothing is billed
    Then each kind of bad input gets its own refusal
    And exactly 0 requests are billed
