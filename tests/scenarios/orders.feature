Feature: Orders to engines come from one holder at a time

  Background:
    Given a stack of four entries in two zones

  Scenario: Withdrawn versions are unloaded and missing ones loaded
    When the pool is managed and swift@v2 is withdrawn
    Then all engines have "swift@v3 swift@v4 deep@v1" loaded

  Scenario: The holder is frozen, and its order comes late
    When the pool is managed and swift@v2 is withdrawn
    And the holder of zone-a is frozen before the next change
    And swift@v4 is withdrawn as well
    Then all engines have "swift@v3 deep@v1" loaded
    When the frozen holder goes on
    Then all engines have "swift@v3 deep@v1" loaded for good
