Feature: The wanted copies run within the licence, whatever the cloud does

  Scenario: Replacements are refused just then
    Given 2 copies in the zone, a licence for 4, and as spares 1 reclaimable and 1 on demand
    When reclaimable starts are refused
    And a copy is reclaimed with a notice of 4000 ms
    Then the zone has 2 copies again before the notice runs out
    And the new copy runs on demand

  Scenario: A whole zone refuses and another one has room
    Given 1 copy and 1 reclaimable spare in each of two zones, and a licence for 4
    When all starts in the first zone are refused
    And the copy of the first zone is reclaimed with a notice of 4000 ms
    Then the second zone has 2 copies before the notice runs out

  Scenario: At the licence's cap a replacement waits for the leaving copy, no longer
    Given 2 copies in the zone, a licence for 2, and as spares 2 reclaimable and 0 on demand
    And 4 answers of 100 tokens are in progress
    When a copy is reclaimed with a notice of 8000 ms
    Then the zone has 2 copies again before the notice runs out
    And there were never more than 2 copies
    And all answers are whole

  Scenario: A slow, rate-limited weight store
    Given a weight store that takes 1500 ms for a copy
    When 4 copies are wanted and there are 6 spares
    Then the zone has 4 copies
    And never more than 2 were starting at once
    And exactly 4 copies were started

  Scenario: The controller is killed between its order and the record
    Given answers to starts are lost
    When 2 copies are wanted and there are 6 spares
    And the controller is killed once 2 copies are starting
    And another controller takes over and answers to starts come again
    Then the records name the 2 copies
    And exactly 2 copies were started

  Scenario: The same notice twice
    Given 2 copies in the zone, a licence for 5, and as spares 3 reclaimable and 0 on demand
    When a copy is reclaimed with a notice of 1500 ms that is sent 3 times
    Then the zone has 2 copies after the notice ran out
    And exactly 1 copies were started
