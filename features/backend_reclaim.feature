Feature: An accepted model request survives the reclaim of its backend server
  Announced or not, alone or in waves: every caller's stream goes on elsewhere from the tokens
  that it has, whole, and with the KV cache where the notice allows.

  Scenario: Half the backend servers are reclaimed in one go
    Given one zone with one entry daemon and 4 engines
    When 12 callers stream 150 tokens and engines 1, 2 are reclaimed with 2000 ms of notice
    Then every caller has its own whole answer
    And fewer than 40 tokens were recomputed because of the reclaim

  Scenario: A whole zone is reclaimed in one go
    Given two zones with one entry daemon and 2 engines each
    When 8 callers of the first zone stream 150 tokens and its engines are reclaimed with 2000 ms of notice
    Then every caller has its own whole answer

  Scenario: A second notice comes during the first move
    Given one zone with one entry daemon and 3 engines
    When 9 callers stream 150 tokens and engine 1 is reclaimed and engine 2 just after, with 2000 ms of notice
    Then every caller has its own whole answer

  Scenario: Processes die in the middle of a reclaim
    Given one zone with one entry daemon and 4 engines
    When 12 callers stream 150 tokens, engines 1, 2 are reclaimed, and engines 1, 3 are killed at once
    Then every caller has its own whole answer

  Scenario: A backend server is killed without notice
    Given one zone with one entry daemon and 2 engines
    When 6 callers stream 60 tokens and engine 1 is killed without notice
    Then every caller has its own whole answer
    And the tokens recomputed because of a failure are counted

  Scenario: What fits into the notice finishes in place
    Given one zone with one entry daemon and 2 engines
    When 6 callers stream 30 tokens and engines 1 are reclaimed with 2500 ms of notice
    Then every caller has its own whole answer
    And nothing was moved

  Scenario: A request that does not stream survives too
    Given one zone with one entry daemon and 2 engines
    When 6 callers ask for 100 whole and engine 1 is reclaimed with 1500 ms of notice
    Then every answer that did not stream is whole
