Feature: Stores decline writes for units that they do not own and for old table versions

  Scenario: A unit moves, and the old home's writes are declined
    Given a part that holds service registry with unit 142 at home in zagreb at table version 4
    Then a claim for unit 142 from zagreb at version 4 gets taken
    And a claim for unit 142 from split at version 4 gets not_unit_home
    And a claim for unit 142 from zagreb at version 3 gets stale_table
    And a claim for unit 142 from zagreb at version 5 gets stale_table
    And a quota share for unit 142 from zagreb at version 4 gets taken
    When the table moves unit 142 of registry to split
    Then a claim for unit 142 from zagreb at version 4 gets stale_table
    And a claim for unit 142 from zagreb at version 5 gets not_unit_home
    And a quota share for unit 142 from zagreb at version 5 gets not_unit_home
    And a quota share for unit 142 from split at version 4 gets stale_table
    And a claim for unit 142 from split at version 5 gets taken
    And a claim for unit 199 from split at version 5 gets not_unit_home
    And a claim for unit 100000 from split at version 5 gets not_unit_home
    And after a snapshot and a restart the same claims and table are there
