Feature: Each request of a client connection ends once

  Scenario Outline: A connection that closes while a request runs is idle once it has ended
    Guards against a stop that waits for a request that will never end, or
    does not wait for one that runs.
    Given a pipeline whose handler <handler>
    When the connection closes <moment> the handler begins
    Then the pipeline is idle exactly once, after <begun> handlers have begun
    And no response is passed on

    Examples:
      | handler                | moment | begun |
      | waits                  | before | 0     |
      | waits                  | after  | 1     |
      | answers when cancelled | after  | 1     |
      | fails when cancelled   | after  | 1     |
