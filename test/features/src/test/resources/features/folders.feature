Feature: Damaged data folders are set aside and their data is never used

  Scenario Outline: A folder whose <file> is <how>
    When a store restarts on a folder whose <file> is <how>
    Then the store keeps its identity: <same>

    Examples:
      | file     | how       | same |
      | identity | fine      | yes  |
      | identity | truncated | no   |
      | identity | junk      | no   |
      | identity | missing   | no   |
      | core     | truncated | no   |
      | core     | junk      | no   |
      | core     | foreign   | no   |
      | p1.log   | flipped   | no   |
      | p2.log   | fine      | yes  |
      | p2.log   | torn      | yes  |
      | p2.log   | cut       | no   |
      | p2.log   | end flipped | no |

  Scenario: Two stores never share a folder
    When a store restarts on a folder whose identity is fine
    Then a second store on that folder fails because the folder is in use
