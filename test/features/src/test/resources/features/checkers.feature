Feature: Every checker catches a planted fault

  Scenario Outline: The checker of promise <n> catches <planted>
    Given a journal in which every promise was kept
    When "<planted>" is planted
    Then the checker finds "promise <n>"

    Examples:
      | n  | planted                                         |
      | 1  | a key that ran twice                            |
      | 2  | a declined submission that ran                  |
      | 3  | a cut stream that looked finished               |
      | 3  | a whole stream that no runner ended             |
      | 4  | work on a runner 3.4 s after its leave                             |
      | 5  | work in a zone 5.3 s after its confirm                             |
      | 5  | work in a cell 5.3 s after its confirm                             |
      | 6  | a node that slipped back                                           |
      | 6  | a node that restarted with an older manifest                       |
      | 6  | work by the old manifest 3.4 s after the new one was everywhere    |
      | 6  | such work by a node that was frozen and just woke                  |
      | 6  | a node that got a manifest 3.4 s late, soon followed by another    |
      | 7  | a declined manifest in force                                       |
      | 7  | work by a manifest that nobody was told is taken                   |
      | 8  | a node that ends without the newest manifest                       |
      | 8  | two manifests taken as one version                                 |
      | 8  | a confirmed mark that is gone                                      |
      | 8  | a kept tenant that is released by itself                           |
      | 8  | a table step that is lost                                          |
      | 8  | a quota that is given out anew                                     |
      | 9  | work run outside its home regions                                  |
      | 9  | work run outside the regions it asked for                          |
      | 9  | work of a kept tenant elsewhere                                    |
      | 10 | a second stream on a cold runner of 2 slots after 2.4 s            |
      | 10 | a third stream on a cold runner of 8 slots after 1.8 s             |
      | 11 | eleven extra runs more than a fifth                                |
      | 11 | eleven extra runs within 10 s of silence                           |
      | 11 | fifteen forwards beyond the first hop                              |
      | 12 | a submission that lost its router in a planned restart             |
      | 12 | a submission that was declined and never served                    |
      | 12 | a submission without a verdict                                     |

  Scenario: A journal without a planted fault passes
    Given a journal in which every promise was kept
    Then the checker finds nothing

  Scenario: A decline held beyond the documented share of the deadline is caught
    Given a journal in which every promise was kept
    When "a decline after 0.51 of the deadline" is planted
    Then the checker finds "was held for"

  Scenario: A disk that acknowledges syncs falsely loses accepted writes, and the checkers notice
    Given a fleet whose disks lie about sync under seed 21
    When all stores lose power at once after manifest 2 was taken
    Then the checkers find a broken promise
