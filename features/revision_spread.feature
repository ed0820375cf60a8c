Feature: An accepted configuration is in force in every zone within seconds and never an older one

  Background:
    Given the platform and two entry daemons in each of "abdoun-hall" and "khalda-hall"
    And revision 1 is in force everywhere

  Scenario: Every daemon of every zone
    When an operator applies a change and waits
    Then the command says that it is in force in both zones
    And revision 2 is in force everywhere within 5 seconds

  Scenario: A daemon is frozen during two changes, and thawed when the platform serves old reads
    When the daemon "entry-khalda-hall-1" freezes
    And an operator applies 2 changes
    And the platform serves reads from 2 versions back
    And the daemon "entry-khalda-hall-1" thaws
    Then revision 3 is in force everywhere within 10 seconds
    And every daemon's revisions only rose

  Scenario: A daemon is killed during a change, and started again while the platform is down
    When the daemon "entry-abdoun-hall-2" dies
    And an operator applies 1 changes
    And the platform goes down
    And the daemon "entry-abdoun-hall-2" starts again
    Then revision 2 is in force everywhere within 10 seconds
    And every daemon's revisions only rose

  Scenario: A new daemon while the platform is down takes the highest of its peers
    When an operator applies 1 changes
    And revision 2 is in force everywhere within 5 seconds
    And the platform goes down
    And a new daemon "entry-khalda-hall-3" starts in "khalda-hall"
    Then revision 2 is in force everywhere within 10 seconds
    And the daemon "entry-khalda-hall-3" got the whole file from a peer
    And the daemon "entry-khalda-hall-3" takes new work

  Scenario: A new daemon that reaches nobody is not ready
    When zone "khalda-hall" is cut off from the platform
    And zone "khalda-hall" is cut off from the other zone
    And every daemon of "khalda-hall" dies
    And a new daemon "entry-khalda-hall-3" starts in "khalda-hall"
    Then the daemon "entry-khalda-hall-3" refuses work for 1 seconds
    When zone "khalda-hall" is joined to the other zone again
    Then revision 1 is in force everywhere within 15 seconds

  Scenario: A zone is cut off from the platform but not from the other zone
    When zone "khalda-hall" is cut off from the platform
    And an operator applies 2 changes
    Then revision 3 is in force everywhere within 5 seconds
    And no daemon of "khalda-hall" got a whole file or asked the platform for one

  Scenario: A zone is cut off from everything during two changes, and healed
    When zone "khalda-hall" is cut off from the platform
    And zone "khalda-hall" is cut off from the other zone
    And an operator applies 2 changes
    Then revision 3 is in force in "abdoun-hall" within 5 seconds
    And revision 1 is still in force in "khalda-hall"
    And waiting for the change names "khalda-hall" and the age of its last word
    When zone "khalda-hall" is joined to the other zone again
    Then revision 3 is in force everywhere within 15 seconds
    And every daemon's revisions only rose

  Scenario: A daemon is started again while the platform serves old reads
    When an operator applies 1 changes
    And revision 2 is in force everywhere within 5 seconds
    And the platform serves reads from 1 versions back
    And the daemon "entry-abdoun-hall-1" dies
    And the daemon "entry-abdoun-hall-1" starts again
    Then revision 2 is in force everywhere within 10 seconds
    And every daemon's revisions only rose

  Scenario: The platform goes down when only one zone has heard of the change
    When zone "khalda-hall" is cut off from the platform
    And zone "khalda-hall" is cut off from the other zone
    And an operator applies 1 changes
    And revision 2 is in force in "abdoun-hall" within 5 seconds
    And the platform goes down
    And zone "khalda-hall" is joined to the platform again
    And zone "khalda-hall" is joined to the other zone again
    Then revision 2 is in force everywhere within 15 seconds
