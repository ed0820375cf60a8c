Feature: "Not run" means not run
  Whatever an answer says of whether a request ran must agree with what the backend server
  counted, at every stage at which a connection can break, for every kind of request.

  Scenario: Calls of a plain service meet a broken connection
    Given one zone with one entry daemon, whose services and engine are reached through links
    Then each call is answered as its stage allows, and the services' count agrees
      | stage         | operation      | fault                         | ran     | times |
      | before send   | non-idempotent | the link refuses              | no      | 0     |
      | before send   | idempotent     | the link refuses              | no      | 0     |
      | during send   | non-idempotent | the link cuts the send        | unknown | 0     |
      | during send   | idempotent     | the link cuts the send        | unknown | 0     |
      | after send    | non-idempotent | the server cuts before it ran | unknown | 0     |
      | after send    | non-idempotent | the server cuts when it ran   | unknown | 1     |
      | after send    | non-idempotent | the link loses the answer     | unknown | 1     |
      | after send    | non-idempotent | the link goes silent          | unknown | 1     |
      | after send    | idempotent     | the server cuts before it ran | unknown | 0     |
      | after send    | idempotent     | the link goes silent          | unknown | 1     |
      | during answer | non-idempotent | the link cuts the answer      | unknown | 1     |

  Scenario: Model requests meet a broken connection
    Given one zone with one entry daemon, whose services and engine are reached through links
    Then each model request is answered as its stage allows, and the engine's count agrees
      | stage         | fault                         | ran     | times |
      | before send   | the link refuses              | no      | 0     |
      | before send   | the server refuses            | no      | 0     |
      | during send   | the link cuts the send        | unknown | 0     |
      | after send    | the server cuts before it ran | unknown | 0     |
      | after send    | the server cuts when it ran   | unknown | 4     |
      | after send    | the link goes silent          | unknown | 1     |
      | during answer | the link cuts the answer      | unknown | 4     |
      | during answer | the server cuts the answer    | yes     | 5     |

  Scenario: Requests are refused before anything is sent
    Given one zone with one entry daemon, whose services and engine are reached through links
    Then each is refused as stated with ran no, and nothing of it was run
      | request                                | status | kind                     |
      | a body that is not JSON                | 400    | bad_request              |
      | a body with wrong types                | 400    | bad_request              |
      | a body with too long a prompt          | 400    | bad_request              |
      | a deadline that is not a number        | 400    | bad_request              |
      | an oversized body                      | 413    | body_too_large           |
      | an oversized body in chunks            | 413    | body_too_large           |
      | an oversized header                    | 400    | bad_request              |
      | a body that stops in the middle        | 408    | caller_too_slow          |
      | an unknown account key                 | 401    | unauthorized             |
      | no account key                         | 401    | unauthorized             |
      | an unknown model                       | 404    | unknown_model            |
      | an unknown service                     | 404    | unknown_service          |
      | an unknown operation                   | 404    | unknown_operation        |
      | an operation behind dot segments       | 404    | unknown_operation        |
      | an operation behind an escaped slash   | 404    | unknown_operation        |
      | a deadline that has passed             | 504    | deadline_before_dispatch |
      | a model without a backend server       | 503    | no_backend               |
      | one request over the concurrency limit | 429    | concurrency_limit        |
      | one request over the token limit       | 429    | token_limit              |
      | one request over the request limit     | 429    | request_limit            |

  Scenario: A daemon without a configuration runs nothing
    Given a daemon that has no configuration
    When the unconfigured daemon is called
    Then it is refused with 503 as not_ready, ran no

  Scenario: An answer that belongs to another request is not passed on
    Given one zone with one entry daemon, whose services and engine are reached through links
    When six calls run while the service mixes up their answers
    Then no caller got the other's answer
    And the service ran each at most once
