Feature: Every checker catches a planted fault

  Scenario Outline: The checker of promise <n> catches <planted>
    Given a journal in which everything was kept
    When "<planted>" is planted
    Then the checker finds "promise <n>"

    Examples:
      | n  | planted                                         |
      | 1  | a key that ran twice                            |
      | 2  | a declined submission that ran                  |
      | 3  | a cut stream that looked finished               |
      | 3  | a whole stream that no runner ended             |
      | 4  | work on a runner four seconds after its leave   |
      | 5  | work in a zone six seconds after its confirm    |
      | 6  | a node that slipped back                        |
      | 6  | a node that restarted with an older manifest    |
      | 6  | a node that got a manifest four seconds late    |
      | 7  | a declined manifest in force                    |
      | 8  | a node that ends without the newest manifest    |
      | 8  | two manifests taken as one version              |
      | 9  | work run outside its home regions               |
      | 10 | a cold runner with every slot in use            |
      | 11 | more extra runs than allowed                    |
      | 12 | a submission that lost its router in a planned restart |

  Scenario: The untouched journal passes
    Given a journal in which everything was kept
    Then the checker finds nothing

  Scenario: A verdict held until near the deadline is caught
    Given a journal in which everything was kept
    When "a decline after nine tenths of the deadline" is planted
    Then the checker finds "held until near its deadline"

  Scenario: A disk that lies about sync loses what was accepted, and the checkers see it
    Given a fleet whose disks lie about sync under seed 21
    When all stores lose power at once after manifest 2 was taken
    Then a promise is seen to break
