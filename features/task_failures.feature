Feature: An unexpected error ends neither a process nor one of its tasks

  Scenario Outline: A task that fails is started again
    Guards against a node that no longer probes, or follows the policy, after
    one unexpected error.
    Given a supervised task that <fault> at each of its first 3 runs
    Then it runs a fourth time and 3 restarts are counted
    And it ends when it is cancelled

    Examples:
      | fault   |
      | raises  |
      | returns |

  Scenario Outline: Malformed rows of the store stop no node
    Guards against a node that no longer follows the store after one row that
    another writer left there.
    Given a platform with the routes
      | name | prefix | kind | service   |
      | page | /page/ | safe | catalogue |
    And the row "<key>" of "<table>" holds the bytes "<bytes>"
    And the instance "one" with a back end of "catalogue"
    When the policy is put after 1 s
    Then a client of "one" is served "/page/1"
    And the process of "one" is running

    Examples:
      | table | key    | bytes                               |
      | nodes | other  | {                                   |
      | nodes | other  | {"host": "127.0.0.1"}               |
      | nodes | other  | {"host": "127.0.0.1", "port": "x"}  |
      | nodes | one    | []                                  |
      | op    | config | {"version": 1}                      |
      | op    | config | {"version": -1, "resources": null}  |
      | op    | other  | ÿ                                   |

  Scenario: A node that starts again leaves its row in the store alone
    Guards against calls to the store that each restart makes in vain, or rows
    that are left behind by an instance that goes away.
    Given a platform with the routes
      | name | prefix | kind | service   |
      | page | /page/ | safe | catalogue |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "catalogue"
    And "one" serves "/page/ready" and "/page/ready"
    And "two" serves "/page/ready" and "/page/ready"
    When "two" is stopped and started again
    Then the store got 2 transactions
    When the back end of "two" leaves and "two" is stopped
    Then the store got 4 transactions
