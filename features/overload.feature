Feature: Too many requests are refused early, with a time to come back
  A request that would begin too late is refused before anything is sent. The engine's count of
  runs is the judge.

  Scenario: A burst that one engine cannot begin in time
    Given 1 daemon and 1 engine with 2 slots in "abdoun-hall"
    When 60 requests of 25 tokens come at once
    Then some are refused as overloaded within 2 s, each with ran no and a time to come back
    And the engine has run exactly the others
    And no first token came later than 5 s

  Scenario: Refused callers who come back when told are all served
    Given 1 daemon and 1 engine with 2 slots in "abdoun-hall"
    When 30 requests of 10 tokens come at once and come back when told
    Then every one of them is answered whole in the end
    And the engine has run each of them once
