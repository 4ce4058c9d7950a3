Feature: Declined submissions get their verdict at once, with a retry time

  Scenario: No runner is up or starting
    Given a fleet under seed 401
    When this happens
      | second | requester-1                             | runner-zagreb-a-1 | runner-zagreb-a-2 | runner-zagreb-a-3 | runner-zagreb-a-4 |
      | 1      |                                         | kill              | kill              | kill              | kill              |
      | 7      | submit lookup office-zagreb-centre W1 3 |                   |                   |                   |                   |
      | 7.5    |                                         | start             | start             | start             | start             |
    Then until second 20 every promise is kept
    And submission W1 was first declined as NO_RUNNER within 20 ms with a retry time, and served in the end

  Scenario Outline: <cause>, with a deadline of <deadline> ms
    Given a fleet under seed 402
    When this happens
      | second | <node>  | <other> | requester-1                                            |
      | 1      | <fault> | <fault> |                                                        |
      | 7      |         |         | submit <work> office-zagreb-centre V1 3 <deadline>     |
      | 8.5    | <heal>  | <heal>  |                                                        |
    Then until second 24 every promise is kept
    And submission V1 was first declined as <kind> within <ms> ms with a retry time, and served in the end

    Examples:
      | cause               | node              | other             | fault         | heal           | work    | deadline | kind      | ms  |
      | no owner            | store-1           | store-2           | kill          | start          | extract | 20000    | CUT_OFF   | 20  |
      | no owner            | store-1           | store-2           | kill          | start          | extract | 800      | CUT_OFF   | 20  |
      | cut off             | router-1-1        | router-1-2        | cut-from-core | heal-with-core | extract | 20000    | CUT_OFF   | 20  |

  Scenario: A leader fails during a claim with a short deadline
    Given a fleet under seed 404
    When this happens
      | second | store-1 | store-2 | requester-1                                       |
      | 1      | kill    | kill    | submit extract office-zagreb-centre C1 3 2000     |
      | 3      | start   | start   |                                                   |
    Then until second 20 every promise is kept
    And submission C1 was first declined as NO_OWNER within 600 ms with a retry time, and served in the end
