Feature: A planned stop of a backend server cuts off no request in progress

  The process of a VM that the platform stops is killed, so that a stop too early cuts requests.

  Background:
    Given a zone with 2 entry daemons, 2 copies of the model and of the service, 1 spare each, and a controller

  Scenario: Operators drain a model engine with answers in progress
    Given 8 answers of 120 tokens are in progress
    When the operators drain an engine
    Then the engine's VM is stopped and another one has taken its place
    And the engine got no new work after its stop was planned and had ended all it had
    And all answers are whole and each was run once

  Scenario: Operators drain a plain service with calls in progress
    Given 8 service calls of 2000 ms are in progress
    When the operators drain the service's server
    Then the server's VM is stopped and another one has taken its place
    And all calls are answered and each was run once

  Scenario: No daemon answers
    Given the controller cannot reach the entry daemons
    When the operators drain an engine
    Then the engine's VM goes on running

  Scenario: The controller is killed in the middle of a planned stop
    Given 8 answers of 120 tokens are in progress
    When the operators drain an engine
    And the controller is killed before the engine is empty, and another one takes over
    Then the engine's VM is stopped and another one has taken its place
    And all answers are whole and each was run once
