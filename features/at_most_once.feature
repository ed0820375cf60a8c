Feature: A non-idempotent call runs at most once
  The service's own count of runs is the judge. Each scenario has two availability zones with two
  entry daemons each; every daemon reaches the platform through a link of its own.

  Background:
    Given two zones with two entry daemons each behind links to the platform

  Scenario: The same key to two daemons at once
    Given the service takes 300 ms
    When the key "k1" is sent to all daemons at once
    Then "k1" has run 1 time
    And every answer is the one run's or refuses with claim_conflict
    And a repeat of "k1" at "entry-khalda-hall-2" gets the kept answer
    When "entry-khalda-hall-1" is frozen, which writes the claims of the next key
    And that key is sent to "entry-abdoun-hall-1"
    Then it is served and has run 1 time
    And when the daemon thaws it has run 1 time

  Scenario: A repeat after a lost answer, at another daemon and in another zone
    When the key "k1" is sent to "entry-abdoun-hall-1" and the caller loses the answer
    Then a repeat of "k1" at "entry-abdoun-hall-2" gets the kept answer
    And a repeat of "k1" at "entry-khalda-hall-1" gets the kept answer
    And "k1" has run 1 time
    And another call with "k1" at "entry-khalda-hall-1" is refused with bad_request and ran no
    And "k1" has run 1 time
    When the service cuts the next connection before its answer
    And the key "k2" is sent to "entry-abdoun-hall-1"
    Then it is refused with outcome_unknown and ran unknown
    And a repeat of "k2" at "entry-khalda-hall-1" is refused with outcome_unknown and ran unknown
    And "k2" has run 1 time
    When the service takes 0 ms
    And the key "k3" is sent to "entry-abdoun-hall-1" and it is stopped gracefully at once
    Then a repeat of "k3" at "entry-khalda-hall-1" gets the kept answer
    And "k3" has run 1 time

  Scenario: The entry daemon is frozen, then dies, after its claim and before the dispatch
    Given "entry-abdoun-hall-1" writes its claims itself and their answers are held back
    When a key is sent to "entry-abdoun-hall-1" and it is frozen once the claim stands
    Then a repeat of the key at "entry-khalda-hall-1" is refused with ran unknown
    And when the daemon thaws the key has run at most 1 time
    Given "entry-abdoun-hall-1" writes its claims itself and their answers are held back
    When a key is sent to "entry-abdoun-hall-1" and it is killed once the claim stands
    Then a repeat of the key at "entry-khalda-hall-1" is refused with ran unknown
    And once the daemon is known to be dead a repeat is refused with outcome_unknown
    And the key has run 0 times

  Scenario: The entry daemon dies after the dispatch
    Given the service takes 60000 ms
    When a key is sent to "entry-abdoun-hall-1" and it is killed once the service runs it
    Then a repeat of the key at "entry-khalda-hall-1" is refused with ran unknown
    And once the daemon is known to be dead a repeat is refused with outcome_unknown
    And the key has run 1 time

  Scenario: Platform writes take effect with their answers lost, and the platform is down
    Given the platform loses the answers of the next 3 writes of claims
    When the keys "k1" to "k6" are sent to each daemon in turn
    Then no key has run more than once
    And every key whose answer was good has run 1 time
    And every key that was refused with ran no has run 0 times
    When the platform also answers reads from 1 version before
    And the keys "old1" to "old6" are sent to each daemon in turn
    Then no key has run more than once
    And every key whose answer was good has run 1 time
    And every key that was refused with ran no has run 0 times
    When the platform is up
    Then every key is answered in the end and has run 1 time
    When the platform is down
    And the key "k7" is sent to "entry-abdoun-hall-1"
    Then it is refused with claim_unavailable and ran no
    And a time to come back is given
    And "k7" has run 0 times
    And an idempotent call at "entry-abdoun-hall-1" is served
    And when the platform is up again the key "k7" runs 1 time
    When the platform is silent
    And the key "k8" is sent to "entry-abdoun-hall-1"
    Then it is refused with claim_unavailable and ran no
    And "k8" has run 0 times

  Scenario: A zone is cut from the platform, then from the other zones as well
    Given "abdoun-hall" is cut from the platform
    When the keys "k1" to "k6" are sent to each daemon in turn
    Then every key has run 1 time
    And no answer was refused
    When "abdoun-hall" is cut from the platform and from other zones
    And the key "k7" is sent to "entry-abdoun-hall-1"
    Then it is refused with claim_unavailable and ran no
    And "k7" has run 0 times
    And an idempotent call at "entry-abdoun-hall-1" is served
    And the key "k8" sent to "entry-khalda-hall-1" is served
