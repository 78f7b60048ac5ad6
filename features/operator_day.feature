Feature: An operator works with the command line alone

  Scenario: From an empty state to the morning report
    Guards against a step of the day that only works beside test code.
    Given an empty system of "catalogue" and "inventory" with its platform
    When the operator runs "check SETTINGS"
    Then the command ends with 0 and says ""
    When the operator runs "ticket list --table PLATFORM"
    Then the command ends with 0 and says "No ticket is filed"
    When the operator runs "ticket file TICKET --yes --table PLATFORM"
    Then the command ends with 0 and says "Ticket 1"
    When the operator waits until "ticket status 1 --table PLATFORM --node NODE" ends with 0
    And 25 customers ask for "/catalogue/page"
    And the operator runs "status --node NODE"
    Then the command ends with 0 and says "inventory"
    When all nodes are told to stop and have ended
    And the operator runs "explain --since 10m --table PLATFORM --objects PLATFORM"
    Then the command ends with 0 and says "25 requests of browsing customers"
    And the command ends with 0 and says "Nothing is missing"
    When the operator runs "explain --ticket 1 --table PLATFORM --objects PLATFORM"
    Then the command ends with 0 and says "ticket 1 came into force"
    When the operator runs "alert list --table PLATFORM"
    Then the command ends with 0 and says ""
