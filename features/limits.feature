Feature: A client account's limit holds over all daemons
  The limit is divided in shares that daemons hold and lend one another. However callers spread,
  and whatever is cut, killed or down, all daemons together never admit more.

  Scenario: Steady state, callers everywhere and at one daemon
    Given two zones with two entry VMs each and an account of 20 requests a second and 3 at a time
    When 60 requests a second go to all entry VMs for 4 seconds
    Then the account ran no more than its limit, and at least 90 % of it
    When 60 requests a second go to "entry-abdoun-hall-1" for 5 seconds
    Then the account ran no more than its limit, and at least 70 % of it
    And each refusal says that nothing ran and when to come back

  Scenario: Few at a time, many callers
    Given two zones with two entry VMs each and an account of 200 requests a second and 3 at a time
    And the only service is in "abdoun-hall" and takes 150 ms
    When 40 requests a second go to all entry VMs for 5 seconds
    Then never more than 3 ran at a time, and 3 did

  Scenario: A zone is cut off from the other and from the platform
    Given two zones with two entry VMs each and an account of 20 requests a second and 20 at a time
    When "khalda-hall" is cut off from the other zone and the platform
    And 60 requests a second go to all entry VMs for 14 seconds
    Then the account ran no more than its limit, and at least 60 % of it
    And each zone ran some in the last 2 seconds

  Scenario: A daemon is killed while it holds what others lent
    Given two zones with two entry VMs each and an account of 20 requests a second and 20 at a time
    When 60 requests a second go to "entry-abdoun-hall-1" for 3 seconds
    And "entry-abdoun-hall-1" is killed while 60 requests a second go to all entry VMs for 14 seconds
    Then the account ran no more than its limit, and at least 50 % of it
    And the others have back what they had lent

  Scenario: A daemon is frozen past its term and wakes among callers
    Given two zones with two entry VMs each and an account of 20 requests a second and 20 at a time
    When "entry-abdoun-hall-1" is frozen until another daemon has a part of its share
    And it wakes while 60 requests a second go to all entry VMs for 3 seconds
    Then the account ran no more than its limit, and at least 60 % of it

  Scenario: The platform is down for longer than the term
    Given two zones with two entry VMs each and an account of 20 requests a second and 20 at a time
    When the platform answers nobody any more
    And 60 requests a second go to all entry VMs for 14 seconds
    Then the account ran no more than its limit, and at least 50 % of it
    And each zone ran some in the last 2 seconds
