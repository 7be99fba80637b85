Feature: Callers are kept away from versions that have gone bad

  Background:
    Given a stack of four entries in two zones

  Scenario: A version that turns bad is quarantined everywhere until cleared
    Given swift@v4 takes half of new work, cleared up to revision 50
    And a session on "swift@v4" was begun
    When swift@v4 turns bad
    And questions are asked until it is quarantined
    Then no entry gives it new work
    And its session is refused with a time to come back
    When an unrelated change is applied
    Then no entry gives it new work
    When an entry is replaced
    Then no entry gives it new work
    When swift@v4 is good again and cleared
    Then it gets work again
