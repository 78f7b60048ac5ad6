Feature: The feed of the policy goes on only from a position that still holds

  Scenario Outline: The call after an answer of the store
    Guards against changes that a node misses, since the store returned from a
    copy and gave out their versions again, and against needless reads.
    Given a feed that has read the policy at version 20 of epoch 1
    When its poll is answered with <answer>
    Then its next call is <call>

    Examples:
      | answer                                       | call                              |
      | version 25 of epoch 1                        | a poll from 25 that waits         |
      | version 25 of epoch 2                        | a read                            |
      | version 20 of epoch 2                        | a read                            |
      | version 15 of epoch 1                        | a read                            |
      | history that is lost                         | a read                            |
      | no response                                  | a poll from 20 that does not wait |
      | no response, version 20 of epoch 1           | a poll from 20 that waits         |
      | no response, version 25 of epoch 2           | a read                            |
      | no response, no response                     | a poll from 20 that does not wait |
      | version 25 of epoch 2, version 25 of epoch 2 | a poll from 25 that waits         |

  Scenario: A poll on a new connection does not wait
    Guards against a poll that waits from a position of the lost history, when
    the store has returned between two polls and ended the connection.
    Given a feed that has read the policy at version 20 of epoch 1
    When its connection ends
    Then its next call is a poll from 20 that does not wait

  Scenario: A store that ends each connection is not polled all the time
    Guards against polls without a pause, since none finds a kept connection.
    Given a feed that has read the policy at version 20 of epoch 1
    When its connection ends
    And its poll is answered with version 20 of epoch 1
    Then its next call is a poll from 20 that waits

  Scenario: A store that tells no epoch is followed by its versions
    Given a feed that has read the policy at version 20 without an epoch
    When its poll is answered with version 25 without an epoch
    Then its next call is a poll from 25 that waits

  Scenario: An answer of another history does not confirm the policy
    Guards against an age of the policy that hides a change that was missed.
    Given a feed that has read the policy at version 20 of epoch 1
    When its poll is answered with version 25 of epoch 2
    Then the policy counts as confirmed by 1 answer
