Feature: A caller that misbehaves harms nobody else
  A caller that goes away or never reads costs a bounded time and memory, and its engine is told.

  Scenario: Callers go away in the middle of their answers
    Given one zone with one entry daemon and 1 engines
    When 6 callers stream 150 tokens and 3 of them go away after 5 tokens
    Then the engine has cancelled 3 streams long before their end
    And those who stayed have their own whole answers

  Scenario: A caller goes away before its first token
    Given one zone with one entry daemon and an engine that works on one request at a time
    When a caller goes away while its request waits behind another
    Then the engine has cancelled that request alone

  Scenario: Callers never read their answers
    Given one zone whose entry daemon waits 1000 ms for a caller, and a fast engine
    When 10 callers never read their answers of 4000 tokens and 4 callers read theirs of 100
    Then the engine has cancelled 10 streams long before their end
    And those who stayed have their own whole answers
    And the daemon grew by less than 30 MB
