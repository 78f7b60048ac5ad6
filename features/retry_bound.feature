Feature: The retries of a request stay within a fixed bound across its chain
  Retries are counted at the upstreams. With R retries in the policy and N
  calls in a run without failures, no service may run more often than R times
  above its share, and all services together at most N (1 + R) times.

  Scenario Outline: A chain eight deep in which <fault>
    Guards against retries that multiply from layer to layer.
    Given a chain of services "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"
    And <setup>
    When a caller asks node "s1" for "/s1/page" 20 times
    Then no request caused more than 2 retries

    Examples:
      | fault                  | setup                                   |
      | every layer fails      | every upstream answers with status 503  |
      | the deepest one fails  | upstream "s8" answers with status 503   |
      | the deepest loses      | upstream "s8" loses its answers         |
      | every layer loses      | every upstream loses its answers        |

  Scenario: A tree with parallel calls in which the leaves fail
    Guards against parallel calls that each spend the whole allowance.
    Given a tree of services "t1", "t2", "t3", "t4" with 2 parallel calls each
    And upstream "t4" answers with status 503
    When a caller asks node "t1" for "/t1/page" 20 times
    Then no request caused more than 2 retries

  Scenario: Upstreams that retry by themselves
    Guards against HTTP clients of upstreams that add retries of their own.
    Given a chain of services "s1", "s2", "s3", "s4"
    And every upstream repeats a failed call 3 times
    And upstream "s4" answers with status 503
    When a caller asks node "s1" for "/s1/page" 20 times
    Then no request caused more than 2 retries

  Scenario: An upstream that does not pass the trace on gets no retries
    Guards against chains whose bound is not known.
    Given a chain of services "s1", "s2", "s3"
    And upstream "s2" does not pass the trace on
    And upstream "s3" answers with status 503
    When a caller asks node "s1" for "/s1/page" 20 times
    Then service "s3" ran no more often than service "s2"
