Feature: A call under which backend servers end is held back
  A call that ends each server that runs it comes again with the same content, at any entry daemon. After
  three servers it is refused as not run, but for a few trials, and the calls of others are served.

  Scenario: The call comes again and again at both entry daemons
    Given one zone with 2 entry daemons and 6 services that end on a deadly call
    When the deadly call is sent 20 times over 4 seconds, to each entry daemon in turn
    Then at least 3 and at most 4 services have ended
    And the last refusals say that it was not run and when to come back
    And 20 harmless calls to each entry daemon are answered

  Scenario: A daemon that starts afterwards knows of it
    Given one zone with 2 entry daemons and 6 services that end on a deadly call
    When the deadly call is sent 20 times over 4 seconds, to each entry daemon in turn
    And all entry daemons are killed and started again
    Then the deadly call is refused by each entry daemon and no further service ends
