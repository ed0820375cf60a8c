Feature: A trace shows each hop of a request
  Scenario: A model request and a service call, under the caller's own trace
    Given one zone with one entry daemon that logs its traces
    When a caller with a trace of its own sends a model request and a service call
    Then each answer names the caller's trace
    And each request has the spans "caller, admission, routing, backend" in the caller's trace
    And every span but the first is within the first

  Scenario: A continued request has one span for each attempt
    Given one zone with one entry daemon that logs its traces
    When each engine cuts off the first request that it gets
    Then the trace has a "backend" span for each attempt, the first of them failed
