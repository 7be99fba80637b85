Feature: Existing clients and operators' commands

  Background:
    Given a stack of four entries in two zones

  Scenario: The official client gets answers and parses refusals
    Then the official client gets a whole and a streamed answer
    And it sees a refusal as the exception of its status
    And it lists the kinds and models that its team may use

  Scenario: Operators see what is in force
    When an operator asks for status, history and bills as JSON
    Then status shows four instances with revision 1 and every version
    And history shows one revision
    And bills show the team's requests
    And one request can be looked up

  Scenario: Plans show differences
    Then the plan of an edit shows just what differs
