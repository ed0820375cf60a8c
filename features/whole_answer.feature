Feature: Each caller gets the whole answer to its own request
  Whatever one backend server does with its answers, no caller's stream has a token missing, a
  token twice, or a token of another request.

  Background:
    Given one zone with one entry daemon and 2 engines

  Scenario Outline: One engine answers wrongly
    Given the first engine has the fault <fault>
    When 8 callers stream 30 tokens at once, two of them with the same text
    Then every caller has its own whole answer
    And the first engine was asked

    Examples:
      | fault                                    |
      | {"truncate_after_tokens": 7}             |
      | {"mix_answers": true}                    |
      | {"duplicate_every": 3}                   |
      | {"reorder_every": 3}                     |
      | {"cut_after_tokens": 9}                  |
      | {"cut_stage": "after_headers"}           |
      | {"cut_stage": "before_answer"}           |
      | {"refuse_status": 503, "count": 3}       |

  Scenario: An engine that falls silent answers late on the old path
    Given the first engine is reached through a link
    When 4 callers stream 60 tokens and the link freezes after 5 tokens and thaws later
    Then every caller has its own whole answer
    And the first engine was asked

  Scenario: A request that does not stream gets its whole answer through a lost connection
    Given the first engine has the fault {"cut_after_tokens": 9, "count": 2}
    When 4 callers ask for 30 tokens without streaming
    Then every answer that did not stream is whole
