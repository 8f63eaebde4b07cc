Feature: The settings file that the platform writes

  # Guards against a limit or time that is no number and reaches timers.
  Scenario Outline: A number that can't be used is refused with its name and value
    When the settings have "<name>=<value>"
    Then they are refused with "got <name>='<value>', expected a finite number"

    Examples:
      | name                          | value |
      | terms.bounds.drainMs          | nan   |
      | terms.bounds.drainMs          | inf   |
      | terms.bounds.graceS           | -1    |
      | terms.bounds.retryBudgetRatio | nan   |
      | self.limits.linkMbps          | many  |

  Scenario: Usable settings are accepted
    When the settings have "terms.bounds.drainMs=2500"
    Then the drain time is 2.5 s
