Feature: Data folders that are damaged are set aside, and never mixed in

  Scenario Outline: A folder whose <file> is <how>
    When a store starts again on a folder whose <file> is <how>
    Then it is the same store <same>

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
    When a store starts again on a folder whose identity is fine
    Then a second store on that folder is told that it is in use
