@one_cluster
Feature: Bad input gets a clear error, runs nothing, and harms nobody else

  Background:
    Given one entry daemon that gives a caller 1 second for a read or a write

  Scenario Outline: A request that cannot be served is refused, and says that it was not run
    When a caller sends <what>
    Then the answer is <status> with the kind "<kind>" and ran "no"
    And no stand-in has run anything
    And another caller gets a whole answer

    Examples: Bodies
      | what                                    | status | kind              |
      | a body that is not JSON                 | 400    | bad_request       |
      | a body that is not UTF-8                | 400    | bad_request       |
      | an empty body                           | 400    | bad_request       |
      | a list for a body                       | 400    | bad_request       |
      | brackets nested 100000 deep             | 400    | bad_request       |
      | a number for the model                  | 400    | bad_request       |
      | a text for the messages                 | 400    | bad_request       |
      | an empty list of messages               | 400    | bad_request       |
      | a negative max_tokens                   | 400    | bad_request       |
      | a text for max_tokens                   | 400    | bad_request       |
      | max_tokens over the model's bound       | 400    | bad_request       |
      | a body over the bound                   | 413    | body_too_large    |
      | a chunked body over the bound           | 413    | body_too_large    |
      | a length over the bound and no body     | 413    | body_too_large    |
      | a body that stops half-way              | 408    | caller_too_slow   |

    Examples: Heads
      | what                                    | status | kind              |
      | a head over the bound                   | 400    | bad_request       |
      | a head of 10000 fields                  | 400    | bad_request       |
      | a request line that is not HTTP         | 400    | bad_request       |
      | a length that is not a number           | 400    | bad_request       |
      | a deadline that is not a number         | 400    | bad_request       |
      | a priority that is not a number         | 400    | bad_request       |
      | an idempotency key of 10000 characters  | 400    | bad_request       |

    Examples: Names
      | what                                    | status | kind              |
      | no key                                  | 401    | unauthorized      |
      | an unknown key                          | 401    | unauthorized      |
      | an unknown model                        | 404    | unknown_model     |
      | an unknown service                      | 404    | unknown_service   |
      | an unknown operation of a service       | 404    | unknown_operation |
      | a method that the operation has not     | 404    | unknown_operation |

  Scenario: Callers that stop in their heads are cut off while others are served
    When 50 callers stop half-way through their heads
    Then another caller gets a whole answer
    And the 50 connections are closed
    And no stand-in has run anything but the other caller's request

  Scenario: Many oversized bodies at once stay within bounded memory
    When 20 callers send 30 megabytes each at once
    Then each of them is refused or cut off
    And the daemon has grown by less than 60 megabytes
    And another caller gets a whole answer

  Scenario: A caller that never reads is dropped and its work is cancelled
    When 4 callers ask for 12000 tokens each and never read
    Then another caller gets a whole answer
    And the engine has cancelled the 4 streams before they ended
    And the daemon has grown by less than 60 megabytes
