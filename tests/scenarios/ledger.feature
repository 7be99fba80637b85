Feature: A request runs as often as it may, and is billed once

  Background:
    Given a stack of four entries in two zones

  Scenario: A booking is repeated through another entry while it runs
    Given a booking "b-1" that takes long is sent through entry 0
    When booking "b-1" is sent through entry 2
    Then the answer is 200 with outcome "answered"
    And booking "b-1" has run 1 time
    And exactly 1 request is billed

  Scenario: The entry that runs a booking is paused while it is repeated
    Given a booking "b-9" that takes long is sent through entry 0
    When booking "b-9" is repeated through entry 2 in the background
    And entry 0 is paused for 1.6 seconds
    And the calls in the background end
    Then all 2 answers are whole
    And booking "b-9" has run 1 time

  Scenario: The entry is killed while a booking runs
    Given a booking "b-2" that takes long is sent through entry 0
    When entry 0 is killed
    And booking "b-2" is sent through entry 2
    Then the answer is 409 with outcome "unknown"
    And booking "b-2" has run 1 time

  Scenario: The entry is frozen while a booking runs, and goes on later
    Given a booking "b-3" that takes long is sent through entry 0
    When entry 0 is frozen
    And booking "b-3" is sent through entry 3
    Then the answer is 409 with outcome "unknown"
    When entry 0 goes on
    And the calls in the background end
    Then booking "b-3" has run 1 time
    And exactly 1 request is billed

  Scenario: Replies of the store are lost after the write took effect
    Given the store loses 3 replies
    When booking "b-4" is sent through entry 0
    And booking "b-4" is sent through entry 1
    Then booking "b-4" has run at most once
    When the store is back
    Then booking "b-4" ends up answered after being told to come back

  Scenario: The store is down
    Given the store is down
    When 5 questions are asked through entry 0
    Then all 5 answers are whole
    When booking "b-5" is sent through entry 1
    Then the answer is 503 with outcome "unknown"
    And the caller is told when to come back
    And booking "b-5" has run 0 times
    When the store is back
    Then booking "b-5" ends up answered after being told to come back
    And booking "b-5" has run 1 time
    And exactly 6 requests are billed

  Scenario: An entry dies before it could post its bills
    Given the store is down
    When 4 questions are asked through entry 0
    And entry 0 is killed
    And the store is back
    Then exactly 4 requests are billed

  Scenario: The writers of buckets die
    When entry 3 is killed
    And 8 bookings are sent through entry 0
    Then each of the 8 bookings has run once and was answered
    And exactly 8 requests are billed

  Scenario: A zone is cut off with a claim in flight
    Given a booking "b-6" that takes long is sent through entry 0
    When zone-a is cut off
    And booking "b-6" is sent through entry 2
    Then the answer is 409 with outcome "unknown"
    When the cut heals
    And the calls in the background end
    Then booking "b-6" has run 1 time
    And exactly 1 request is billed

  Scenario: Two writers of the same buckets at once
    Given zone-a is cut off from its peers but not from the store
    When 6 bookings are sent through both zones at once
    Then each of the 6 bookings has run at most once
    When the cut heals
    Then every booking ends up billed as often as it ran

  Scenario: Two zones that don't hear of each other answer the same question
    Given zone-a is cut off from its peers but not from the store
    When question "q-1" is asked through entries 0 and 2
    Then all 2 answers are whole
    And two runs of question "q-1" have ended
    And exactly 1 request is billed for good

  Scenario: A retry that is refused while the first attempt runs
    Given a booking "b-7" that takes long is sent through entry 0
    When all plain services say that they are leaving
    And booking "b-7" is sent through entry 2
    Then the answer is 503 with outcome "unknown"
    When booking "b-8" is sent through entry 2
    Then the answer is 503 with outcome "not-run"
    And the caller is told when to come back
    And booking "b-8" has run 0 times
