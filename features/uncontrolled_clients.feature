Feature: Clients that do not read or do not finish harm no others

  The crowd and the bounds follow from the settings of the scenario: 24 MiB of
  memory, 32 connections, 64 bytes in 2 s. A node may grow by twice its bound,
  since the allocator and copies in transit are not counted. Descriptors may
  rise by the bound of connections, and by 16 for upstreams and other nodes.

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And instances that hold at most 25165824 bytes, take 32 connections and want 64 bytes in 2 s
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario Outline: A crowd of such clients leaves the nodes their memory
    Guards against a node that is ended for its memory, or has no descriptor
    left, by clients that cost themselves nothing.
    When <count> clients of "two" <do>
    Then each node has grown by at most 50331648 bytes
    And each node has opened at most 48 descriptors more
    And "one" and "two" answer an ordinary request
    And the node of "two" has disconnected all of these clients at last
    And each node holds nothing for clients

    Examples:
      | count | do                                                            |
      | 24    | read responses of 4000000 bytes slowly                        |
      | 24    | never read responses of 4000000 bytes                         |
      | 24    | send 3000000 bytes in chunks of 65536 and stop before the end |
      | 24    | send 500000 bytes in chunks of 1 and stop before the end      |
      | 64    | trickle chunks and stop before the end                        |
      | 24    | pipeline 60 requests for 2000000 bytes and never read         |
      | 64    | trickle heads                                                 |
      | 64    | only open connections                                         |

  Scenario: The largest request of the policy is served when nothing else runs
    Guards against a default bound that a single client within the policy
    reaches.
    Given the instance "three" with the default limits and a back end of "large"
    When the route "up" with prefix "/up/" for "large" is added
    And the largest body is set to 67108864 bytes
    Then "three" serves "/up/ready" within 30 seconds
    When a client of "three" sends POST "/up/1?size=30000000" as "a1" with 67108864 bytes
    Then it gets status 200 and 30000000 bytes
