Feature: A leaving backend server gets no new work across cuts and pauses
  Within 3 s of the reclaim notice, or at once by a daemon that wakes later. The engine's own count
  of what began is the judge.

  Scenario: The zones are cut from one another
    Given 1 daemon and 2 engines in each of two zones whose peer streams run through the proxy
    And steady requests through "entry-khalda-hall-1"
    And "engine-abdoun-hall-1" gets requests of "entry-khalda-hall-1"
    When the peer streams between the zones are cut
    And "engine-abdoun-hall-1" gets a reclaim notice
    Then nothing began on "engine-abdoun-hall-1" later than 3 s after the notice
    And "engine-khalda-hall-1" still gets requests of every daemon
    When the peer streams between the zones are healed
    Then "engine-abdoun-hall-2" gets requests of "entry-khalda-hall-1" again
    And every answer is whole

  Scenario: Every daemon of the zone is frozen and thawed
    Given 3 daemons and 2 engines in "abdoun-hall" and 1 daemon and 1 engine in "khalda-hall"
    When the daemons of "abdoun-hall" are frozen
    And 3 s pass
    And "engine-abdoun-hall-1" gets a reclaim notice
    And 30 requests wait at the frozen daemons for 4 s
    And the daemons of "abdoun-hall" are thawed
    Then nothing began on "engine-abdoun-hall-1" later than 3 s after the notice
    And every answer is whole

  Scenario: A thawed daemon that reaches nobody serves with what it knows
    Given 1 daemon and 1 engine in "abdoun-hall"
    When the platform stops answering
    And the daemons of "abdoun-hall" are frozen
    And 4 requests wait at the frozen daemons for 2 s
    And the daemons of "abdoun-hall" are thawed
    Then every answer is whole
