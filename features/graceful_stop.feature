Feature: A planned stop cuts off no request in progress

  Scenario: An entry daemon is told to stop with requests in progress
    Given one zone with one entry daemon and 2 engines
    And the plain service takes 1500 ms
    When the daemon is told to stop while 10 callers stream 60 tokens and 4 calls run
    Then every caller has its own whole answer
    And every call was answered
    And a new request in the meantime was refused as leaving and not run
    And the daemon ended with exit code 0

  Scenario Outline: A backend server is drained by the operators' file
    Given one zone with one entry daemon, 2 engines and 2 plain services
    And the plain service takes 1500 ms
    When <server> is drained while 10 callers stream 60 tokens and 4 calls run
    Then every caller has its own whole answer
    And every call was answered
    And <server> got no new work once the file was in force

    Examples:
      | server                |
      | engine-abdoun-hall-1  |
      | service-abdoun-hall-1 |
