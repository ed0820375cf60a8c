Feature: What operators and logs show, and what they never show

  Scenario: Status, history and events of a running system
    Given a whole system for the operators' view
    Then "status" shows both zones in force, 2 of 8 copies of the model, and every backend server
    And "events" shows the revision, the zones and the backend servers
    And "history" shows one revision in force

  Scenario: Account keys appear in no log, status, metric or error
    Given a whole system for the operators' view
    When requests with a right key, a wrong key and an account's key for another service are sent
    And a file that holds a plain key is refused
    Then no output of any process or command holds a key
