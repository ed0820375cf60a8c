Feature: Faults come together
  The load program is every caller; it comes back only as an answer tells it to. Its checks and the
  services' own counts are the judge. A reclaimed VM's process is killed when its notice ends, which
  is sooner than most answers end.

  Scenario: The store is down while backend servers and an entry VM leave, then a whole zone leaves
    Given two zones with 2 entry VMs, 4 engines and 2 services each
    When 7 mixed requests a second come for 15 seconds, and meanwhile
      | after_ms | fault                 | names                                            | notice_ms |
      | 1500     | the store goes down   |                                                  |           |
      | 2500     | reclaim               | engine-abdoun-hall-1, engine-abdoun-hall-2       | 1500      |
      | 2500     | reclaim               | engine-khalda-hall-4, service-khalda-hall-1      | 1500      |
      | 3000     | reclaim               | entry-abdoun-hall-1                              | 2000      |
      | 5500     | kill                  | engine-khalda-hall-1                             |           |
      | 7500     | the store is up again |                                                  |           |
      | 9500     | reclaim               | engine-khalda-hall-2, engine-khalda-hall-3       | 1500      |
      | 9500     | reclaim               | service-khalda-hall-2                            | 1500      |
      | 9500     | reclaim               | entry-khalda-hall-1, entry-khalda-hall-2         | 2500      |
    Then every request got its own whole answer
    And no call ran twice

  Scenario Outline: The store is slow for long and an entry VM leaves meanwhile
    Given two zones with 2 entry VMs, 2 engines and 1 services each
    When 6 mixed requests a second come for 14 seconds, and meanwhile
      | after_ms | fault                         | names               | notice_ms |
      | 1000     | the store takes <delay_ms> ms |                     |           |
      | 6000     | reclaim                       | entry-abdoun-hall-1 | 2500      |
      | 11000    | the store is up again         |                     |           |
    Then every request got its own whole answer
    And no call ran twice

    Examples:
      | delay_ms |
      | 400      |
      | 2500     |
