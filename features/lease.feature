Feature: One controller of a zone orders at a time, and no engine ends in the state of a stale order

  Background:
    Given a platform, an engine "checking" that checks fencing numbers and an engine "ignoring" that does not
    And the controller "control-1" holds the zone's lease
    And the controller "control-2" is its successor

  Scenario: A holder paused past its lease and woken with an order ready
    When "control-1" is paused between its order to "checking" and its order to "ignoring"
    And "control-2" holds the lease and has put both engines in order
    And "control-1" is woken
    Then "control-1" has given up the lease
    And no engine has seen an order of an older number
    And both engines serve

  Scenario: Two holders that both believe
    When "control-2" gets the lease and "control-1" does not hear of it
    And "control-2" has put both engines in order
    And both engines ask for orders 4 times
    Then "checking" has refused 1 order and taken none of an older number
    And "control-1" has given up the lease
    And both engines serve

  Scenario: An order of an old holder arrives late
    When an order of an older number to drain reaches both engines
    Then "checking" has refused it
    And "ignoring" is put back in order by a newer order
    And both engines serve

  Scenario: The platform is down at the renewal
    When the platform is down
    Then the lease of "control-1" lapses
    And the engines get no order when they ask for one
    When the platform is up again
    Then one controller holds the lease
    And both engines serve

  Scenario: The answers to renewals are lost
    When the answers to the next 3 writes of the lease are lost
    Then "control-1" has held the lease all the time
    And its number is the lease's version
