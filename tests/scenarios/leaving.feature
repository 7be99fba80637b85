Feature: Shutdown loses no requests

  Background:
    Given a stack of four entries in two zones

  Scenario: An upstream that is shutting down gets no new requests while it is listed
    Given engine "engine-0" reports that it is shutting down
    When all entries have received the report
    And 12 chat requests are sent through entry 0
    Then all 12 responses have status 200
    And "engine-0" got no new requests since

  Scenario: An upstream that says in an answer that it leaves gets no new requests
    Given engine "engine-0" says in its answers that it leaves
    When 12 chat requests are sent through entry 0 in turn
    Then all 12 responses have status 200
    And "engine-0" ran at most 1 request

  Scenario: Upstreams that ask for a rest get no requests until it ends
    Given every engine asks for a rest of 60 seconds
    When 5 chat requests are sent through entry 0 in turn
    Then all 5 responses ask callers to return after 30 seconds or more
    And every engine refused 1 request

  Scenario: An entry finishes streams and serves new connections after SIGTERM
    Given a slow stream through entry 0
    When entry 0 gets SIGTERM
    And a chat request is sent to entry 0 while it shuts down
    Then all 2 responses have status 200
    And entry 0 exited with code 0
    And exactly 2 requests are billed

  Scenario: A request that is still arriving when an entry stops is answered
    Given half of a booking has arrived at entry 0
    When entry 0 gets SIGTERM
    And entry 0 refuses new connections
    And the rest of the booking arrives
    Then the booking is answered with status 200
    And the process of entry 0 ends with code 0

  Scenario: All entries are replaced under load
    Given callers keep sending bookings and chat requests with retries
    When every entry is replaced in turn under load
    And the callers stop
    Then every booking has run once
    And every request succeeded and is billed once

  Scenario: Links between entries fail and recover
    When zone-a is partitioned
    And every entry sees only the instances of its zone
    And the partition heals
    Then every entry sees all four instances again
