Feature: Allowed, withdrawn, and in session

  Background:
    Given a stack of four entries in two zones

  Scenario: A withdrawn version receives no new work
    Given a session on "swift@v3" through entry 0
    When swift@v3 is withdrawn
    And the session goes on through entry 2
    Then the answer is 410 with outcome "not-run"
    When 12 listings are asked through entry 1
    Then no run of "swift@v3" began after the withdrawal

  Scenario: A draining version keeps its sessions and takes no new ones
    Given a session on "swift@v3" through entry 0
    When swift@v3 is drained and swift@v4 serves
    And the session goes on through entry 2
    Then the answer is 200 with outcome "answered"
    And the answer is by "swift@v3"
    When 12 listings are asked through entry 1
    Then only the session ran on "swift@v3" after the change

  Scenario: A session outlives every entry and an outage of the store
    Given a session on "swift@v3" through entry 0
    When every entry is replaced in turn
    And the store is down
    And the session goes on through entry 3
    Then the answer is 200 with outcome "answered"
    And the answer is by "swift@v3"

  Scenario: Forged, altered and foreign tokens
    Given a session on "swift@v3" through entry 0
    Then the token altered in any part is refused
    And another team's use of the token is refused

  Scenario: The signing key is rotated
    Given a session on "swift@v3" through entry 0
    When every entry is replaced in turn with a new signing key first
    And the session goes on through entry 3
    Then the answer is 200 with outcome "answered"
    And the answer is by "swift@v3"

  Scenario: A team gets only what it is allowed
    Then a team that may use only "swift" gets no other model from any entry
    And a team without leave to pin may not pin

  Scenario: A zone without proof of the newest revision
    Given a session on "swift@v4" through entry 0
    When zone-a is cut off
    And the proofs in zone-a are too old
    And the session goes on through entry 0
    Then the answer is 503 with outcome "not-run"
    And the caller is told when to come back
    When 12 listings are asked through entry 0
    Then all of them are answered by settled versions
