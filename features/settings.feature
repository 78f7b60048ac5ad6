Feature: Mistakes of a settings file are all named at once

  Scenario: Every mistake is named by line and field
    Guards against an operator who finds one mistake for each start.
    Given a settings file
      """
      instance: Front_1
      listen:
        host: 10.0.0.5
        caller_port: 70000
        operator_host: 0.0.0.0
        egress_host: 127.9.9.9
      log:
        level: loud
        colour: red
      seeds:
        - 127.0.0.1:7001
        - nowhere:1
      """
    When the command "check" is run on it
    Then the command ends with status 2
    And it names the mistakes
      | line | field               | words                        |
      | 1    | instance            | Front_1, lower-case          |
      | 1    | data_centre         | nothing                      |
      | 3    | listen.host         | 10.0.0.5, tls                |
      | 4    | listen.caller_port  | 70000, 65535                 |
      | 5    | listen.operator_host | 0.0.0.0, operator_token     |
      | 8    | log.level           | loud, warning                |
      | 9    | log.colour          | unknown field, refusals_per_s |
      | 12   | seeds.1             | nowhere:1, an IP address     |
    When the command "node" is run on it
    Then the command ends with status 2
    And it names 8 mistakes

  Scenario: A right file passes
    Given a settings file
      """
      instance: front-1
      data_centre: qld-1
      listen: {host: 127.8.0.1, operator_host: 127.0.0.2}
      """
    When the command "check" is run on it
    Then the command ends with status 0

  Scenario: A command line that cannot be understood ends with status 2
    When the command line "check" is run
    Then the command ends with status 2
    When the command line "chek file" is run
    Then the command ends with status 2
