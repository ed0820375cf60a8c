Feature: An accepted request survives the reclaim of its entry VM
  The caller's stream ends with the event "moved" and goes on at any other daemon, behind the
  balancer, with no token missing and none twice.

  Scenario: One entry VM is reclaimed
    Given two zones with 2 entry VMs and 1 engine each
    And 6 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    And a whole answer of 170 tokens and a service call of 1000 ms wait at "entry-abdoun-hall-1"
    When "entry-abdoun-hall-1" get a notice of 2500 ms
    Then "entry-abdoun-hall-1" takes no new work and says that nothing ran
    And every stream is whole and its own
    And the waiting whole answer is fetched elsewhere
    And the service call was answered and ran once
    And no engine computed a token twice
    And the VMs have ended by themselves

  Scenario: Half of the entry VMs are reclaimed in one go, each notice sent twice
    Given two zones with 2 entry VMs and 1 engine each
    And 4 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    And 4 streams of 170 tokens through "entry-khalda-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1, entry-khalda-hall-1" get a notice of 2500 ms twice
    Then every stream is whole and its own
    And no engine computed a token twice

  Scenario: All entry VMs of a zone are reclaimed in one go
    Given two zones with 2 entry VMs and 1 engine each
    And 4 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    And 4 streams of 170 tokens through "entry-abdoun-hall-2", each read for 10 tokens
    When "entry-abdoun-hall-1, entry-abdoun-hall-2" get a notice of 2500 ms
    Then every stream is whole and its own
    And no engine computed a token twice

  Scenario: The receiving VM is reclaimed before the callers have come; only the own account finds them
    Given two zones with 2 entry VMs and 1 engine each
    And 6 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1" get a notice of 2500 ms
    And every stream has been told to move
    Then another account finds no such request
    When "entry-abdoun-hall-2" get a notice of 2500 ms
    And the VMs have ended by themselves
    Then every stream is whole and its own

  Scenario: A VM that serves moved streams is reclaimed as well
    Given two zones with 2 entry VMs and 1 engine each
    And 4 streams of 180 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1" get a notice of 2500 ms
    And every stream goes on at "entry-khalda-hall-1" for 10 tokens
    And "entry-khalda-hall-1" get a notice of 2500 ms
    Then every stream is whole and its own
    And no engine computed a token twice

  Scenario: SIGTERM with a short grace
    Given two zones with 2 entry VMs and 1 engine each and a grace of 2500 ms
    And 4 streams of 180 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1" is told to stop
    Then every stream is whole and its own
    And no engine computed a token twice

  Scenario: The VM is killed in the middle of the handover
    What was handed over is whole; of the rest the caller hears that its fate is unknown.

    Given two zones with 2 entry VMs and 1 engine each
    And 12 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1" is killed when the first stream has been told to move
    Then every stream that was told to move is whole
    And every other stream is whole or its caller hears that its fate is unknown

  Scenario: The receiving VM is killed before the callers have come
    Given two zones with 2 entry VMs and 1 engine each
    And 3 streams of 170 tokens through "entry-abdoun-hall-1", each read for 10 tokens
    When "entry-abdoun-hall-1" get a notice of 2500 ms
    And every stream has been told to move
    And "entry-abdoun-hall-2" is killed
    Then every caller hears that the fate of its request is unknown
