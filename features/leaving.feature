Feature: A backend server that is leaving gets no new work
  At every daemon, within 3 s of the reclaim notice or of the configuration that stops it. The
  engine's own count of what began is the judge.

  Scenario: The VM list is far behind and the object service is down
    Given 3 daemons and 2 engines in "abdoun-hall" and 1 daemon and 1 engine in "khalda-hall"
    And steady requests through every daemon
    When the VM list falls 60 s behind and the object service stops answering
    And "engine-abdoun-hall-1" gets a reclaim notice
    Then nothing began on "engine-abdoun-hall-1" later than 3 s after the notice
    And "engine-abdoun-hall-2" still gets requests of every daemon
    And every answer is whole

  Scenario Outline: The daemons that watch the platform are <state>
    Given 3 daemons in "abdoun-hall" that reach the platform each through a link, and 2 engines
    And steady requests through the daemon that does not watch for "abdoun-hall"
    When 2 s pass
    And the daemons that watch for "abdoun-hall" are <state>
    And "engine-abdoun-hall-1" gets a reclaim notice
    Then nothing began on "engine-abdoun-hall-1" later than 3 s after the notice
    And every answer is whole

    Examples:
      | state             |
      | cut from platform |
      | frozen            |

  Scenario: The daemons that watch the platform are cut from it and serve on
    Given 3 daemons in "abdoun-hall" that reach the platform each through a link, and 2 engines
    And steady requests through every daemon
    When 2 s pass
    And the daemons that watch for "abdoun-hall" are cut from platform
    And "engine-abdoun-hall-1" gets a reclaim notice
    Then nothing began on "engine-abdoun-hall-1" later than 3 s after the notice
    And every answer is whole

  Scenario: A planned stop
    Given 3 daemons and 2 engines in "abdoun-hall" and 1 daemon and 1 engine in "khalda-hall"
    And steady requests through every daemon
    And 8 long answers are in progress
    When a configuration that drains "engine-abdoun-hall-1" and "service-abdoun-hall-1" is applied
    Then nothing begins on either from 3 s later on
    And the long answers end whole where they began
    And every answer is whole
