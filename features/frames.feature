Feature: Frames between nodes keep their encoding and their checks

  Scenario Outline: The bytes of <message> messages
    Guards against an encoding that nodes of earlier versions read differently.
    When the <message> message with every field is encoded
    Then its bytes have the digest <digest>
    And the generated code without its C extension encodes the same bytes

    Examples:
      | message | digest           |
      | open    | ce565775edaa45b3 |
      | head    | 3ebce418d9259e9b |
      | failure | dfd629b8918064bd |

  Scenario: Every kind of message
    Guards against a message that is encoded under the number of another one.
    When an empty message of every kind is encoded
    Then each is read as a message of its kind alone

  Scenario Outline: A missing field of <message> messages
    Guards against a message that is accepted without a required field.
    When the <message> message with every field is encoded
    Then it is refused without any one of the fields "<fields>"

    Examples:
      | message | fields                                                                                                                                                                    |
      | open    | service_name method path headers body body_complete request_class depth deadline_ms deadline_epoch_ms allowance key idempotent trace_id span_id root_route ticket sampled |
      | head    | status headers body                                                                                                                                                       |
      | report  | service_name route level in_flight limit                                                                                                                                  |

  Scenario: Frames that are received in parts
    Guards against bytes that are lost or read twice between two reads.
    When 3 frames are received in two parts, cut at every place
    Then all frames are read in order each time
