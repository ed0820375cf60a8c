Feature: The stand-ins and the harness themselves
  What the other features judge by must be right on its own.

  Scenario: An engine's answer is continued by another engine
    Given the stand-in engines "first" and "second"
    When "first" cuts the connection after 5 tokens of an answer of 12
    And the rest is asked of "second" with the 5 tokens
    Then the joined answer is whole
    And "second" has recomputed the prompt and 5 tokens

  Scenario: A stream that lingers is resumed where it was lost
    Given the stand-in engines "first" and "second"
    When "first" cuts the connection after 5 tokens of an answer of 12
    And the rest is asked of "first" by the stream's id
    Then the joined answer is whole
    And "first" has recomputed 0 tokens

  Scenario Outline: The check sees a wrong answer
    Given the stand-in engines "first" and "second"
    And the fault <fault> on "first"
    When 2 answers of 12 tokens are read from "first" together
    Then at least one of them is found wrong

    Examples:
      | fault                        |
      | {"truncate_after_tokens": 3} |
      | {"mix_answers": true}        |
      | {"duplicate_every": 4}       |
      | {"reorder_every": 4}         |

  Scenario: A service counts what it ran, also when the answer is lost
    Given a stand-in service behind a link that loses one answer
    When a call with the key "k1" is sent twice
    Then the first has no answer and the second has one
    And the service has run "k1" 2 times

  Scenario: A moved KV cache spares the recomputing
    Given the stand-in engines "first" and "second"
    When "first" cuts the connection after 5 tokens of an answer of 12
    And the KV cache of the stream moves from "first" to "second"
    And the rest is asked of "second" with the 5 tokens
    Then the joined answer is whole
    And "second" has recomputed 0 tokens
