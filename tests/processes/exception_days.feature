Feature: An exception expires at a node after its last day, without a new version

  Scenario: The day after the last day, and a clock that is set back
    Given a node that enforces an exception with the last day 2027-01-31
    Then on 2027-01-31 the exception applies at the node
    And on 2027-02-01 the default applies at the node
    And on 2027-01-30 the default applies at the node
    And the limits of the target were applied again once
