Feature: Units move in small, monitored steps

  Scenario: A full cell gives units to one with free capacity, and gets them back after a longer quiet period
    Given a fleet under seed 301
    And each requester submits about every 22 ms
    When this happens
      | second | runner-osijek-a-1 | requester-1 | requester-2 | requester-3 |
      | 2      | kill              |             |             |             |
      | 24     | start             |             |             |             |
      | 28     |                   | swing 8     |             |             |
    Then until second 70 every promise is kept
    And "CW1605" is on the timeline of any store
    And "may go back" is on the timeline of any store
    And no unit moved more than 2 times, and 8 or more moved
    And after second 60 at most 1 submissions in a hundred were declined

  Scenario: Without free capacity anywhere no unit moves, and declines carry a retry time
    Given a fleet under seed 302
    And each requester submits about every 6 ms
    When this happens
      | second | runner-osijek-a-1 |
      | 10     | kill              |
    Then by second 24 no unit has moved
    And until second 24 every promise is kept
    And verdict declined was reported at least 50 times

  Scenario: A step that increases problems is reverted and tried again later
    Given a fleet under seed 303
    And each requester submits about every 30 ms
    When this happens
      | second | operator          | runner-split-a-1 | runner-split-a-2 |
      | 2      | empty split-1     |                  |                  |
      | 8      |                   | ail              | ail              |
      | 10     | take-back split-1 |                  |                  |
      | 20     |                   | recover          | recover          |
    Then until second 60 every promise is kept
    And "taken back" is on the timeline of any store
    And "problems rose" is on the timeline of any store
    And at least 5 runs started in split-1 between seconds 48 and 60
    And after second 48 at most 1 submissions in a hundred were declined

  Scenario: The leader fails in the middle of a move, and the next leader continues from the record
    Given a fleet under seed 304
    And each requester submits about every 30 ms
    When this happens
      | second | operator              | store-1 | store-2 | store-3 | router-2-1 |
      | 2      | empty split-1 store-3 |         |         |         |            |
      | 2.4    |                       | kill    |         |         |            |
      | 5      |                       | start   |         |         | kill       |
      | 7      | take-back split-1 store-3 |     | freeze  |         | start      |
      | 12     |                       |         | wake    | kill    |            |
      | 16     |                       |         |         | start   |            |
    Then until second 40 every promise is kept
    And no unit moved more than 4 times, and 20 or more moved
    And at least 5 runs started in split-1 between seconds 30 and 40
    And submissions sent from second 30 on are served

  Scenario: A quiet cell is emptied, its machines are turned off and on again, and nothing is declined for it
    Given a fleet under seed 305
    And each requester submits about every 60 ms
    When this happens
      | second | operator                 | runner-split-a-1 | runner-split-a-2 |
      | 2      | empty-cell split-a       |                  |                  |
      | 10     |                          | leave            | leave            |
      | 12     |                          | kill             | kill             |
      | 24     |                          | start            | start            |
      | 28     | take-back-cell split-a   |                  |                  |
    Then until second 45 every promise is kept
    And the operator received "confirmed"
    And no run started in split-1 between seconds 8 and 28
    And at least 5 runs started in split-1 between seconds 34 and 45
    And after second 2 no submission that may run outside split was declined

  Scenario: A release across a change of wire version, and back: new commands wait for the last old process
    Given a fleet with the previous wire version under seed 306
    And each requester submits about every 60 ms
    When this happens
      | second | release | operator          | store-1     | store-2     | store-3     | router-1-1  | router-1-2  | router-2-1  | router-2-2  | router-3-1  | router-3-2  |
      | 1      |         | empty split-1     |             |             |             |             |             |             |             |             |             |
      | 6      | 2       | take-back split-1 | kill; start |             |             |             |             |             |             |             |             |
      | 14     |         |                   |             | kill; start |             | stop-gently |             |             |             |             |             |
      | 22     |         | empty split-1     |             |             | kill; start | start       | stop-gently |             |             |             |             |
      | 30     |         | take-back split-1 |             |             |             |             | start       | stop-gently |             |             |             |
      | 38     |         |                   |             |             |             |             |             | start       | stop-gently |             |             |
      | 46     |         |                   |             |             |             |             |             |             | start       | stop-gently |             |
      | 54     |         |                   |             |             |             |             |             |             |             | start       | stop-gently |
      | 61     |         |                   |             |             |             |             |             |             |             |             | start       |
    Then by second 61 no step record was written
    When this happens
      | second | operator          |
      | 126    | empty split-1     |
    Then until second 140 every promise is kept
    And "emptied" is on the timeline of any store
    And no submission is lost
