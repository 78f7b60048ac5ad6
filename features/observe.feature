Feature: Operators can follow a node by its log and its metrics (P10)

  Scenario: A surge of refusals does not flood the log
    Guards against a log that hides the cause of a surge, and against
    refusals that are neither logged nor counted.
    Given a node "front" that logs 5 refusals a second and sends metrics
    When 200 callers ask node "front" for the unknown service "nothing"
    Then each of the 200 callers is told not-run by rule "no_upstream"
    And every log line of node "front" is a JSON object of instance "front"
    And the log of node "front" tells class, ticket, verdict and trace of refusals
    And the lines of node "front" about refusals and those left out make 200
    And statsd counted 200 of "refused.no_upstream"
