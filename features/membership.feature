Feature: Daemons know which of them run
  Peers talk through the fault-injecting proxy, one link for each daemon, cut by the caller's zone.

  Scenario: Daemons join by one seed, and a killed one is found
    Given zones "a b" with 2 entry daemons each that probe every 1000 ms
    When daemon "a-2" is killed
    Then the others call "a-2" dead within 15 seconds

  Scenario: One lost link accuses nobody
    Given zones "a b" with 2 entry daemons each that probe every 2000 ms
    When the link between "a-1" and "a-2" is cut for 6 seconds
    Then nobody was suspected

  Scenario: A zone that was cut off joins again
    Given zones "a b c" with 2 entry daemons each that probe every 1000 ms
    When zone "a" is cut off
    Then the daemons of zones "a" see just zones "a"
    And the daemons of zones "b c" see just zones "b c"
    When the cut heals
    Then every daemon sees all others

  Scenario: All daemons of a zone are replaced at once, seeds included
    Given zones "a b" with 2 entry daemons each that probe every 1000 ms
    And the entry daemons stand in the VM list and zones in the operator file
    When all daemons of zone "a" are killed and 2 others start with the old seeds
    Then every daemon sees all others

  Scenario: A frozen daemon that comes back refutes its death
    Given zones "a b" with 2 entry daemons each that probe every 1000 ms
    When daemon "b-1" is frozen until the others call it dead
    And daemon "b-1" goes on
    Then every daemon sees all others
