Feature: A file is applied as a whole or not at all

  Background:
    Given the platform behind a link for each of two operators
    And a file is in force as revision 1

  Scenario Outline: A file with a mistake changes nothing and the mistake is named
    When "first" applies a file with <mistake>
    Then the command refuses it at "<path>" because of "<reason>"
    And revision 1 alone is in the platform

    Examples:
      | mistake                       | path                       | reason               |
      | a bad field                   | models[0].licensed_copies  | greater than 0       |
      | an unknown reference          | client_accounts[0].uses[0] | no model or service  |
      | a licence that cannot be met  | models[0].min_copies       | the licence allows 2 |
      | more than the platform stores |                            | 1048576              |

  Scenario: Two operators race
    Given the links are slow
    When "first" and "second" apply different files at the same time
    Then one of them wins and the other gets a conflict with the difference
    And the winner's file is in the platform, whole

  Scenario: An operator applies over a revision that was not seen
    Given "second" has applied a change
    When "first" applies a file from revision 1
    Then "first" gets a conflict that names what "second" changed

  Scenario Outline: A write takes effect and its answer is lost
    Given the answer to the next write of "<kind>" is lost
    When "first" applies a change
    Then it is applied as revision 2 with one write of "pointers"

    Examples:
      | kind      |
      | revisions |
      | pointers  |

  Scenario: An operator's command is killed between its two writes
    Given the links are slow
    When "first" applies a change and is killed after the first write
    Then revision 1 is still in force
    And "second" can apply a change, as revision 3
    And the history shows revision 2 as never in force

  Scenario: The platform goes down while an operator applies
    Given the platform goes down
    When "first" applies a change
    Then the command says that nothing was changed

  Scenario Outline: The example of each user is applied
    When "first" applies the example "<example>"
    Then it is in the platform, whole, as revision 2

    Examples:
      | example          |
      | qafza-bookings   |
      | driftwood-ledger |
