Feature: Faults of processes, disks, clocks and networks

  Scenario: Half of all processes are killed at once
    Given a fleet under seed 201
    And each requester submits about every 40 ms
    When this happens
      | second | store-1 | router-1-1 | router-2-1 | router-3-1 | runner-zagreb-a-1 | runner-zagreb-a-2 | runner-split-a-1 |
      | 2      | kill    | kill       | kill       | kill       | kill              | kill              | kill             |
      | 6      | start   | start      | start      | start      | start             | start             | start            |
    Then until second 24 every promise is kept
    And submissions sent from second 18 on are served

  Scenario: Every process is killed at once, and accepted writes survive
    Given a fleet under seed 202
    And each requester submits about every 40 ms
    When this happens
      | second | operator         | all        |
      | 1      | send m store-1 1 |            |
      | 3      |                  | power-loss |
      | 5      |                  | start      |
    Then until second 26 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 18 on are served

  Scenario: A leader is frozen and woken
    Given a fleet under seed 203
    And each requester submits about every 40 ms
    When this happens
      | second | store-1 | store-2 | store-3 | operator           |
      | 2      | freeze  |         |         |                    |
      | 4      |         |         |         | send a store-2 1   |
      | 8      | wake    |         |         |                    |
      | 10     |         | freeze  |         |                    |
      | 15     |         | wake    | freeze  |                    |
      | 20     |         |         | wake    |                    |
    Then until second 30 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 26 on are served

  Scenario: A store loses its disk right after acknowledging a manifest
    Given a fleet under seed 204
    And each requester submits about every 40 ms
    When this happens
      | second | operator         | store-1   |
      | 2      | send a store-1 1 |           |
      | 2.1    |                  | disk-loss |
      | 4      |                  | start     |
    Then until second 20 every promise is kept
    And every node has the newest manifest
    And "CW1103" is on the timeline of store-1

  Scenario: A store machine is replaced by an empty one at a new address
    Given a fleet under seed 205
    And each requester submits about every 40 ms
    When this happens
      | second | store-2                              | store-3 | operator         |
      | 2      | kill; disk-loss; move-to store-2b; start |     |                  |
      | 16     |                                      | kill    |                  |
      | 18     |                                      |         | send a store-1 1 |
    Then until second 28 every promise is kept
    And "CW1103" is on the timeline of store-2
    And submissions sent from second 24 on are served

  Scenario: All seed machines are replaced one by one
    Given a fleet under seed 206
    And each requester submits about every 40 ms
    When this happens
      | second | store-1                                  | store-2                                  | store-3                                  | seeds                         | router-1-1  | operator         |
      | 2      | kill; disk-loss; move-to store-1b; start |                                          |                                          |                               |             |                  |
      | 17     |                                          | kill; disk-loss; move-to store-2b; start |                                          |                               |             |                  |
      | 32     |                                          |                                          | kill; disk-loss; move-to store-3b; start |                               |             |                  |
      | 47     |                                          |                                          |                                          | store-1b store-2b store-3b    | kill; start |                  |
      | 52     |                                          |                                          |                                          |                               |             | send a store-1 1 |
    Then until second 60 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 53 on are served

  Scenario: Disks fill up, and the part continues on other stores
    Given a fleet under seed 207
    And each requester submits about every 40 ms
    When this happens
      | second | store-1   | store-2   | operator           |
      | 2      | disk-full |           |                    |
      | 5      |           |           | send a store-2 1   |
      | 9      |           | disk-full |                    |
      | 12     |           |           | send b store-3 2   |
      | 16     | disk-free | disk-free |                    |
    Then until second 30 every promise is kept
    And "CW1302" is on the timeline of store-1
    And submissions sent from second 24 on are served

  Scenario: Disks stall in the middle of a sync
    Given a fleet under seed 218
    And each requester submits about every 40 ms
    When this happens
      | second | store-1    | store-2    | operator         |
      | 2      | disk-stall |            |                  |
      | 4      |            |            | send a store-2 1 |
      | 8      | disk-go-on |            |                  |
      | 10     |            | disk-stall |                  |
      | 16     |            | disk-go-on |                  |
    Then until second 28 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 22 on are served

  Scenario: A damaged log segment is treated as a lost disk
    Given a fleet under seed 208
    And each requester submits about every 40 ms
    When this happens
      | second | store-2           |
      | 2      | kill; disk-damage |
      | 4      | start             |
    Then until second 20 every promise is kept
    And "CW1301" is on the timeline of store-2
    And submissions sent from second 15 on are served

  Scenario: Clocks jump by an hour, back and forth
    Given a fleet under seed 209
    And each requester submits about every 40 ms
    When this happens
      | second | router-1-1                    | store-1                      | runner-split-a-1               |
      | 2      | clock-jump -3600; kill; start | clock-jump 3600; kill; start | clock-jump -3600; kill; start  |
      | 10     | clock-jump 3600; kill; start  | clock-jump -3600; kill; start |                               |
    Then until second 24 every promise is kept
    And submissions sent from second 18 on are served

  Scenario: The core splits, and routers are cut off from it
    Given a fleet under seed 210
    And each requester submits about every 40 ms
    When this happens
      | second | store-1          | router-2-1     | router-3-1     | operator         |
      | 2      | cut-from store-2 |                |                |                  |
      | 3      | cut-from store-3 |                |                |                  |
      | 4      |                  | cut-from-core  | cut-from-core  | send a store-2 1 |
      | 12     | heal-with store-2 | heal-with-core |               |                  |
      | 14     | heal-with store-3 |               | heal-with-core |                  |
    Then until second 28 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 22 on are served

  Scenario: A region is isolated with its requesters, and returns
    Given a fleet under seed 211
    And each requester submits about every 40 ms
    When this happens
      | second | split-1 | operator         |
      | 2      | cut     |                  |
      | 6      |         | send a store-1 1 |
      | 14     | heal    |                  |
    Then until second 32 every promise is kept
    And every node has the newest manifest
    And submissions sent from second 26 on are served

  Scenario: Manifests in quick succession, one of them several MiB
    Given a fleet under seed 212
    And each requester submits about every 60 ms
    When this happens
      | second | operator             |
      | 1.0    | send a store-1 1     |
      | 1.2    | send b store-2 2     |
      | 1.4    | send c store-3 3     |
      | 2.0    | send big1 store-1 4  |
      | 3.0    | send d router-1-1 5  |
    Then until second 12 every promise is kept
    And exactly 5 of the manifests sent were accepted
    And every node has the newest manifest

  Scenario: Runners crash, go dark, leave at short notice and are replaced one by one
    Given a fleet under seed 213
    And each requester submits about every 40 ms
    When this happens
      | second | runner-zagreb-a-1 | runner-zagreb-a-2 | runner-split-a-1 | runner-split-a-2 | runner-osijek-a-1 |
      | 2      | kill              | go-dark           |                  |                  |                   |
      | 3      | start             |                   | leave            |                  |                   |
      | 5      |                   |                   | kill             |                  |                   |
      | 6      |                   |                   | start            | leave            | leave             |
      | 6.2    |                   |                   |                  |                  | kill              |
      | 9      |                   | come-back         |                  | kill             | start             |
      | 11     |                   |                   |                  | start            |                   |
    Then until second 24 every promise is kept
    And submissions sent from second 17 on are served

  Scenario: A burst of submissions, then normal load again
    Given a fleet under seed 214
    And each requester submits about every 40 ms
    When this happens
      | second | requester-1 | requester-2 |
      | 2      | crowd 1500  | crowd 1500  |
    Then until second 30 every promise is kept
    And verdict declined was reported at least 100 times
    And submissions sent from second 22 on are served

  Scenario: A requester changes zone and asks again with the same key
    Given a fleet under seed 215
    And each requester submits about every 60 ms
    When this happens
      | second | requester-1                            | requester-2                             | requester-3                             | router-1-1 | router-1-2 |
      | 2.00   | submit extract office-split-harbour M1 60 |                                      |                                         |            |            |
      | 2.30   |                                        |                                         |                                         | kill       | kill       |
      | 2.40   |                                        | submit extract office-split-harbour M1 60 |                                       |            |            |
      | 6.00   |                                        |                                         | submit extract office-split-harbour M1 60 |          |            |
      | 8.00   |                                        |                                         |                                         | start      | start      |
      | 12.00  | submit extract office-split-harbour M1 60 |                                      |                                         |            |            |
    Then until second 24 every promise is kept
    And key M1 ran exactly 1 time

  Scenario: The load alternates between long prompts and long responses while messages are lost
    Given a fleet under seed 216
    And a network that loses 0.02 of all messages
    And each requester submits about every 60 ms
    When this happens
      | second | requester-1 | requester-2 | requester-3 |
      | 2      | swing 120   | swing 3     | swing 120   |
      | 8      | swing 3     | swing 120   | swing 3     |
    Then until second 24 every promise is kept
    And submissions sent from second 18 on are served

  Scenario: Service returns after the last of several faults
    Given a fleet under seed 217
    And each requester submits about every 40 ms
    When this happens
      | second | store-1 | store-2 | zagreb-1 | osijek-1   | runner-split-a-1 |
      | 2      | kill    |         |          |            |                  |
      | 4      | start   |         |          |            | kill             |
      | 8      |         | freeze  |          |            | start            |
      | 12     |         | wake    |          |            |                  |
      | 18     |         |         | cut      |            |                  |
      | 26     |         |         | heal     |            |                  |
      | 32     |         |         |          | power-loss |                  |
      | 34     |         |         |          | start      |                  |
    Then until second 54 every promise is kept
    And service in osijek-1 resumed within the limit after second 34
    And submissions sent from second 47 on are served

  Scenario: Random schedules of all of these
    Then seeds 1 to 24 of random faults on the maticar fleet keep every promise
    And seeds 3373 to 3373 of random faults on the maticar fleet keep every promise
    And seeds 2061 to 2061 of random faults on the maticar fleet keep every promise
    And seeds 5087 to 5087 of random faults on the brannock fleet keep every promise
    And seeds 3288 to 3288 of random faults on the brannock fleet keep every promise
    And seeds 1 to 16 of random faults on the brannock fleet keep every promise

  Scenario: Simulated days: burst, alternating load, a region lost and back cold, a release, a quiet night
    Then days 1 to 3 on the maticar fleet keep every promise
    And days 1 to 2 on the brannock fleet keep every promise
