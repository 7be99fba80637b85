Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given a stack of four entries in two zones

  Scenario: Operators race with conflicting files
    When two operators apply different files planned against revision 1
    Then one of them gets revision 2 and the other a conflict that names it
    And revision 2 is in force on entries 0, 1, 2 and 3

  Scenario: The reply to an apply is lost
    Given the store loses 1 replies
    When an operator applies an edit
    Then the command ends with code 0
    And revision 2 is in force on entries 0, 1, 2 and 3

  Scenario: Waiting tells who has it in force
    When an operator applies an edit and waits
    Then the command ends with code 0
    When entry 3 is frozen
    And an operator applies another edit and waits
    Then the command ends with code 6

  Scenario: A watch has gone silent
    Given watches of the store have gone silent
    When an operator applies an edit
    Then revision 2 is in force on entries 0, 1, 2 and 3

  Scenario: An entry starts while the store is down
    When entry 0 is killed
    And the store is down
    And entry 0 is started
    Then revision 1 is in force on entry 0
    And entry 0 answers a question

  Scenario: A zone that is cut off from the store learns from its peers
    Given zone-a is cut off from the store only
    When an operator applies an edit
    Then revision 2 is in force on entries 0, 1, 2 and 3

  Scenario: The store is put back to an older state
    Given the store's state is saved
    When an operator applies an edit
    Then revision 2 is in force on entries 0, 1, 2 and 3
    When the store is put back to the saved state
    Then the store holds revision 2 again
    And no entry went back from revision 2

  Scenario: A bad file changes nothing
    When an operator applies files with several faults
    Then the command ends with code 3
    And every fault is named
    And revision 1 is in force on entries 0, 1, 2 and 3

  Scenario: The store is down when an operator applies
    Given the store is down
    When an operator applies an edit
    Then the command ends with code 5
