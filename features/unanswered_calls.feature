Feature: A call without an answer leaves no silent connection behind

  Scenario: Calls to the store are not lost one connection after the other
    Guards against calls that are lost one after the other, each on another
    connection that was open when all of them went silent.
    Given a service to which 3 connections are kept
    When its open connections go silent
    And a call gets no response within 0.3 s
    Then each of 3 calls is answered

  Scenario: A connection that has answered in the meantime is kept
    Guards against connections that are opened again after each slow call.
    Given a service to which 3 connections are kept
    When one call gets no response within 0.6 s while another one is answered
    Then each of 3 calls is answered
    And the service has accepted 3 connections

  Scenario: Calls to an upstream are not lost one connection after the other
    Guards against an upstream whose open connections go silent, and each of
    them costs one more request.
    Given an upstream to which 3 connections are kept
    When its open connections go silent
    And a call to it gets no answer within 0.3 s
    Then each of 3 calls to it is answered

  Scenario: A call to an upstream that accepts no connection has not run
    Guards against "may have run" for a request that was never sent, as its
    connection could not be opened in time.
    Given an upstream whose queue of new connections is full
    When a call is sent to it through the product's own interface
    Then the call is refused as not run, since the upstream cannot be reached
