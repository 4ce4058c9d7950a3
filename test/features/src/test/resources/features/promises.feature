Feature: Promises that hold under every fault

  Scenario: 1. Run-once work never runs twice, whichever process fails or freezes between claim and run
    Given a fleet under seed 101
    And each requester submits about every 40 ms
    When this happens
      | second | requester-1                       | router-1-1 | router-1-2 | runner-zagreb-a-1 | store-1 |
      | 1.000  | submit extract office-zagreb-centre K1 40 |    |            |                   |         |
      | 1.030  |                                   | freeze     |            |                   |         |
      | 1.200  |                                   |            |            | kill              |         |
      | 1.500  | submit extract office-zagreb-centre K1 40 |    |            |                   |         |
      | 2.000  |                                   |            |            |                   | kill    |
      | 2.500  | submit extract office-zagreb-centre K1 40 |    |            |                   |         |
      | 6.000  |                                   | wake       |            | start             | start   |
      | 7.000  | submit extract office-zagreb-centre K1 40 |    | kill       |                   |         |
      | 9.000  | submit extract office-zagreb-centre K1 40 |    | start      |                   |         |
    Then until second 20 every promise is kept
    And submissions sent from second 15 on are served

  Scenario: 2. Declined work is not run, even when slots, runners and leaders run out
    Given a fleet under seed 102
    And each requester submits about every 4 ms
    When this happens
      | second | store-1 | store-2 | runner-split-a-1 | runner-osijek-a-2 |
      | 2      | kill    |         |                  |                   |
      | 3      |         | kill    | kill             | go-dark           |
      | 8      | start   |         | start            | come-back         |
      | 10     |         | start   |                  |                   |
    Then until second 18 every promise is kept
    And verdict declined was reported at least 20 times

  Scenario: 3. A stream is complete and in order, or visibly truncated
    Given a fleet under seed 103
    And each requester submits about every 40 ms
    When this happens
      | second | router-1-1 | router-2-1 | runner-zagreb-a-1 | runner-split-a-1 | split-1 |
      | 2.0    | kill       |            | kill              |                  |         |
      | 3.0    |            | freeze     |                   | freeze           |         |
      | 4.0    | start      |            | start             |                  | cut     |
      | 9.0    |            | wake       |                   | wake             | heal    |
    Then until second 20 every promise is kept
    And verdict cut was reported at least 1 time
    And submissions sent from second 17 on are served

  Scenario: 4. A leaving runner gets no new work from about 3 s after its leave is acknowledged
    Given a fleet under seed 104
    And each requester submits about every 20 ms
    When this happens
      | second | runner-zagreb-a-1 | router-1-2     | store-1 |
      | 2.0    |                   | cut-from-core  |         |
      | 2.5    | leave             |                |         |
      | 2.6    |                   |                | kill    |
      | 12.0   |                   | heal-with-core | start   |
    Then until second 20 every promise is kept
    And the runner runner-zagreb-a-1 is leaving at every live router
    And no run started in runner-zagreb-a-1 between seconds 9 and 20

  Scenario: 5. An emptied zone gets no new work from about 5 s after the confirmation until it is taken back
    Given a fleet under seed 105
    And each requester submits about every 30 ms
    When this happens
      | second | operator          | all   | store-3 |
      | 2      | empty split-1     |       |         |
      | 9      |                   | kill  |         |
      | 10     |                   | start |         |
      | 22     |                   |       | kill    |
      | 30     | take-back split-1 |       |         |
    Then until second 45 every promise is kept
    And the operator received "confirmed"
    And no run started in split-1 between seconds 8 and 30
    And at least 5 runs started in split-1 between seconds 36 and 45

  Scenario: 5. A confirmation stays pending while a router of the zone is cut off and may still send
    Given a fleet under seed 115
    And each requester submits about every 30 ms
    When this happens
      | second | router-2-1    | operator      |
      | 1      | cut-from-core |               |
      | 5      |               | empty split-1 |
    Then by second 30 the operator received "pending [router-2-1]" and not "confirmed"
    And until second 30 every promise is kept
    And the operator received "confirmed"

  Scenario: 6. A confirmed manifest is in force everywhere, and no node goes back to an older one
    Given a fleet under seed 106
    When this happens
      | second | operator           | router-1-1 | store-1 | store-2    | router-2-1 |
      | 1      | send a store-1 1   |            |         |            |            |
      | 2      | send b store-2 2   | kill       |         |            |            |
      | 3      | send c router-3-1 3 | start     | kill    |            |            |
      | 6      | send d store-2 4   |            |         |            | freeze     |
      | 9      | send big1 store-2 5 |           | start   |            | wake       |
      | 12     | send e store-3 6   |            |         | power-loss |            |
      | 16     |                    |            |         | start      |            |
    Then until second 25 every promise is kept
    And every node has the newest manifest

  Scenario: 7. At most one of several competing, outdated and invalid manifests takes effect
    Given a fleet under seed 107
    When this happens
      | second | operator                                                    |
      | 1      | send x store-1 1; send y store-2 1; send z router-3-1 1     |
      | 3      | send invalid store-1 2                                      |
      | 4      | send old store-3 1                                          |
      | 5      | send ahead store-3 9                                        |
    Then until second 10 every promise is kept
    And exactly 1 of the manifests sent were accepted

  Scenario Outline: 8. Accepted writes survive the loss of <loss>
    Given a fleet under seed 108
    And each requester submits about every 30 ms
    When this happens
      | second | operator         | <node>  | store-2 | runner-osijek-a-2 |
      | 1      | send m store-2 1 |         |         |                   |
      | 1.4    | keep office-split-harbour store-2 split,zagreb | | | leave |
      | 1.9    | empty-cell split-a store-3 |  |       |                   |
      | 2.3    |                  | <fault> |         |                   |
      | 6      |                  | <heal>  |         |                   |
      | 20     |                  |         | kill    |                   |
    Then until second 28 every promise is kept
    And every node has the newest manifest
    And the operator received "confirmed"
    And no run started in runner-osijek-a-2 between seconds 6 and 28
    And no run started in split-1 between seconds 9 and 28

    Examples:
      | loss                        | node     | fault      | heal  |
      | the disk of one store       | store-1  | disk-loss  | start |
      | power at one store          | store-1  | power-loss | start |
      | a whole zone                | zagreb-1 | kill       | start |
      | the disk of another store   | store-3  | disk-loss  | start |

  Scenario: 9. A transaction never leaves its home regions, even when they are all lost
    Given a fleet under seed 109
    And each requester submits about every 15 ms
    When this happens
      | second | zagreb-1 | split-1 | operator                                     |
      | 2      | kill     |         |                                              |
      | 6      |          | cut     |                                              |
      | 14     | start    | heal    |                                              |
      | 20     |          |         | keep office-split-harbour store-3 split      |
    Then until second 30 every promise is kept
    And the operator received "confirmed"
    And verdict declined was reported at least 1 time

  Scenario: 10. A runner that comes back cold gets its load gradually
    Given a fleet under seed 110
    And runners that start cold
    And each requester submits about every 15 ms
    When this happens
      | second | runner-zagreb-a-1 | split-1 |
      | 2      | kill              |         |
      | 4      |                   | kill    |
      | 8      | start             |         |
      | 12     |                   | start   |
    Then until second 28 every promise is kept
    And at least 1 runs started in runner-zagreb-a-1 between seconds 8 and 11

  Scenario: 11. Retries stay within a fifth of the regular traffic plus an allowance
    Given a fleet under seed 111
    And each requester submits about every 40 ms
    When this happens
      | second | runner-zagreb-a-1 | runner-split-a-1 | runner-osijek-a-1 |
      | 1.0    | kill              |                  |                   |
      | 1.5    |                   | kill             |                   |
      | 2.0    | start             |                  | kill              |
      | 2.5    | kill              | start            |                   |
      | 3.0    | start             | kill             | start             |
      | 3.5    |                   | start            | kill              |
      | 4.0    | kill              |                  | start             |
      | 5.0    | start             | kill             |                   |
      | 6.0    |                   | start            |                   |
    Then until second 15 every promise is kept
    And submissions sent from second 12 on are served

  Scenario: 12. Planned restarts of every router and store, one by one, lose no submission
    Given a fleet under seed 112
    And each requester submits about every 40 ms
    When this happens
      | second | router-1-1  | router-2-1  | router-3-1  | router-1-2  | store-1   | store-2   | store-3   | runner-zagreb-a-1 | operator         |
      | 1      | stop-gently |             |             |             |           |           |           |                   |                  |
      | 6      | start       |             |             |             | hand-over |           |           |                   |                  |
      | 7      |             | stop-gently |             |             | kill      |           |           |                   |                  |
      | 9      |             |             |             |             | start     |           |           | leave             |                  |
      | 13     |             | start       |             |             |           | hand-over |           |                   | send n store-1 1 |
      | 14     |             |             | stop-gently |             |           | kill      |           |                   |                  |
      | 16     |             |             |             |             |           | start     |           |                   |                  |
      | 20     |             |             | start       |             |           |           | hand-over |                   |                  |
      | 21     |             |             |             | stop-gently |           |           | kill      |                   |                  |
      | 23     |             |             |             |             |           |           | start     |                   |                  |
      | 27     |             |             |             | start       |           |           |           |                   |                  |
    Then until second 32 every promise is kept
    And no submission is lost

  Scenario: 12. Service is back within 12 s after a region returns
    Given a fleet under seed 113
    And each requester submits about every 30 ms
    When this happens
      | second | osijek-1   |
      | 2      | power-loss |
      | 12     | start      |
    Then until second 30 every promise is kept
    And service in osijek-1 resumed within the limit after second 12
    And submissions sent from second 24 on are served
