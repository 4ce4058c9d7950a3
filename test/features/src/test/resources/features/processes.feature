Feature: Restarts and faults with real processes

  Scenario: Restarts one by one under load lose nothing
    Given a fleet of processes with 2 routers in each zone and a runner in each cell
    When a load of 4000 streams of about 20 tokens runs while this happens
      | at stream | fault   |
      | 100       | rolling |
    Then the journals agree and show no broken promise
    And every submission ended complete or declined with a retry time

  Scenario: kill -9, SIGSTOP and a deleted data folder break no promise
    Given a fleet of processes with 1 router in each zone and a runner in each cell
    When a load of 2500 streams of about 20 tokens runs while this happens
      | at stream | fault         |
      | 100       | kill-store    |
      | 300       | kill-router   |
      | 500       | start-all     |
      | 700       | wipe-store    |
      | 900       | freeze-router |
    Then the journals agree and show no broken promise
    And at least 2000 streams were complete
    And status shows every part owned and 3 stores in each group

  Scenario: A stream cut on the wire is reported as cut
    Given a fleet of processes with 1 router in each zone and a runner in each cell
    When a load of 150 streams of about 200 tokens runs while this happens
      | at stream | fault       |
      | 20        | kill-runner |
    Then the journals agree and show no broken promise
    And some stream was visibly truncated

  Scenario: The drill takes a zone out of a running fleet and back
    Given a fleet of processes with 1 router in each zone and a runner in each cell
    When zone split-1 is drilled with 2500 streams
    Then the drill exits with 0 and its report contains "every promise checked here was kept"

  Scenario: The drill fails when the emptied zone gets work
    Given a fleet of processes with 1 router in each zone and a runner in each cell
    When zone split-1 is drilled with 2500 streams while work is sent to one of its runners directly
    Then the drill exits with 1 and its report contains "BROKEN promise 5"
