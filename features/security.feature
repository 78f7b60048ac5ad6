Feature: Nodes and operators prove who they are

  Scenario: Nodes with certificates of one authority work together
    Given an authority "ours" and nodes with its certificates
    And a chain of services "catalogue"
    And a node "front" without an upstream
    When a caller asks node "front" for "/catalogue/page"
    Then the answer has status 200

  Scenario Outline: A peer without a valid certificate is refused
    Guards against a process that joins the system without being asked.
    Given an authority "ours" and nodes with its certificates
    And a chain of services "catalogue"
    When a peer with <proof> greets node "catalogue"
    Then it gets no answer
    And node "catalogue" has 0 connection to node "stranger"

    Examples:
      | proof                        |
      | plain TCP                    |
      | no certificate               |
      | a certificate of "strangers" |

  Scenario: A node does not talk to one of another authority
    Given an authority "ours" and nodes with its certificates
    And a chain of services "catalogue"
    And an authority "strangers" and nodes with its certificates
    When a node "stranger" is started
    Then node "stranger" does not learn of "catalogue" while it tries

  Scenario: Operators need the token
    Given a node "front" with the operators' token "a-long-secret-token"
    Then the status of "front" with header "none" has status 401
    And the status of "front" with header "Bearer wrong" has status 401
    And the status of "front" with header "a-long-secret-token" has status 401
    And the status of "front" with header "Bearer a-long-secret-token" has status 200
    And the command status without the token ends with 1 and names the variable
    And the command status with the token shows node "front" as table and JSON

  Scenario: A certificate that cannot be read is a settings error
    Given a settings file
      """
      instance: front-1
      data_centre: qld-1
      tls: {certificate: /nowhere/a.pem, key: /nowhere/a.key, authority: /nowhere/ca.pem}
      """
    When the command "node" is run on it
    Then the command ends with status 2
    And it names 1 mistakes
