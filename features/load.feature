Feature: The load program sees what callers see
  Figures and soak runs rest on it, so it must find a wrong answer and follow advice.

  Scenario: Mixed requests through two zones are all answered whole
    Given a running cluster for the load program
    When 40 mixed requests a second are sent for 2 seconds
    Then the load program says that all answers are whole
    And the stand-ins have run each call once

  Scenario: A wrong answer is found
    Given a stand-in engine that swaps answers for the load program
    When 20 model requests a second are sent for 1 second
    Then the load program says that answers are wrong

  Scenario: A refused caller comes back when it was told to
    Given a running cluster for the load program with 5 requests a second for the account
    When 10 mixed requests a second are sent for 2 seconds
    Then the load program says that all answers are whole
    And the load program was refused with "request_limit" and came back
