Feature: Gateways on the users' platform
  Real gateway processes beside a stand-in of the users' object store, cloud API and runners.

  Background:
    Given a store, a plain runner, an engine and the gateways "one" and "two"

  Scenario: A planned stop cuts off no stream and takes the gateway out first
    When 6 streams of 60 events are open at "one" and it gets SIGTERM
    Then "one" says that it is not ready while it still serves
    And every stream is whole
    And "one" ends with exit code 0
    And "two" serves

  Scenario: A killed holder of the duties is succeeded under a higher number
    When the holder of the duties is killed
    Then the other gateway orders copies under a higher number

  Scenario: A frozen holder does not act after its lease has lapsed
    When the holder of the duties is frozen until the other one has acted, and thawed
    Then no call comes later with a lower number than the one before

  Scenario: All gateways are killed right after a change
    When a route is taken away and all gateways are killed at once
    And both gateways are started again
    Then neither gateway ever serves the old route

  Scenario: The store is away while gateways are killed
    Given the store is busy
    When "one" is killed and started again
    Then "one" answers 503 and says when to come back
    And "two" serves
    When the store is back
    Then "one" serves

  Scenario: A settings file that changes is read again, and a broken one changes nothing
    When the settings of "one" get 5 repeats, and then a mistake
    Then "one" has logged the changed field, and the mistake
    And "one" serves
