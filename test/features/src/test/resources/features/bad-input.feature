Feature: Invalid input gets a clear verdict and has no effect

  Scenario: Invalid requests of requesters, runners and operators are declined by kind
    Given a store, a router and a runner in this process
    Then each of these is declined with its own kind and nothing runs
      | to          | method | path                 | headers                                                          | body                  | status | kind                  |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | cut short             | 400    | bad_json              |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | with a field twice    | 400    | bad_json              |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | with junk behind      | 400    | bad_json              |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | with an unknown field | 400    | bad_field             |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | without messages      | 400    | bad_field             |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | not streaming         | 400    | bad_field             |
      | requester   | POST   | /v1/chat/completions | craneway-work=lookup                                             | good                  | 400    | missing_tenant        |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | of unknown service    | 404    | unknown_service       |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=poem                             | good                  | 400    | unknown_work          |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=extract                          | good                  | 400    | run_once_without_key  |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup craneway-regions=atlantis | good                  | 403    | no_home_region        |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=office-zagreb-centre craneway-work=lookup craneway-regions=split | good  | 403    | no_home_region        |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | too large             | 413    | too_large             |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup                           | far too large         | 413    | too_large             |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup craneway-deadline-ms=0    | good                  | 504    | deadline_passed       |
      | requester   | POST   | /v1/chat/completions | craneway-tenant=t craneway-work=lookup craneway-deadline-ms=soon | good                  | 400    | bad_field             |
      | requester   | GET    | /v1/chat/completions |                                                                  |                       | 405    | wrong_method          |
      | requester   | POST   | /v2                  |                                                                  | good                  | 404    | no_such_page          |
      | runner-desk | POST   | /v1/announce         |                                                                  | {"name":              | 400    | bad_json              |
      | runner-desk | POST   | /v1/announce         |                                                                  | {"name":"r"}          | 400    | bad_field             |
      | runner-desk | POST   | /v1/announce         |                                                                  | {"service":"registry","name":"r","address":"here","cell":"zagreb-a","slots":1,"incarnation":1,"cold":false,"load":0} | 400 | bad_field |
      | runner-desk | POST   | /v1/announce         |                                                                  | {"service":"registry","name":"r","address":"127.0.0.1:5","cell":"moon","slots":1,"incarnation":1,"cold":false,"load":0} | 400 | bad_field |
      | runner-desk | POST   | /v1/leave            |                                                                  | {"service":"registry","name":"ghost","incarnation":1} | 409 | stale_runner |
      | operator    | PUT    | /v1/manifest         | craneway-base=1                                                  | {"name": 5}           | 422    | bad_manifest          |
      | operator    | PUT    | /v1/manifest         |                                                                  | {}                    | 400    | bad_operator_input    |
      | operator    | POST   | /v1/intents          |                                                                  | {"intent":"empty-zone","zone":"atlantis"} | 422 | bad_intent |
      | operator    | POST   | /v1/intents          |                                                                  | {"intent":"dance"}    | 422    | bad_intent            |
      | operator    | POST   | /v1/intents          |                                                                  | {"what":1}            | 400    | bad_operator_input    |
      | operator    | POST   | /v1/intents          |                                                                  | {"intent":"keep-tenant","tenant":"nobody","regions":["split"]} | 422 | bad_intent |
      | operator    | POST   | /v1/intents          |                                                                  | {"intent":"empty-zone","zone":"zagreb-1"} | 422 | bad_intent |
      | operator    | POST   | /v1/plans/77/confirm |                                                                  |                       | 404    | unknown_plan          |
      | store-operator | POST | /v1/core/rebuild    |                                                                  | 77                    | 422    | bad_intent            |
      | operator    | GET    | /v1/core/rebuild     |                                                                  |                       | 404    | no_such_page          |
      | operator    | GET    | /v1/plans/77         |                                                                  |                       | 404    | unknown_plan          |
    And the manifest in force is still version 1

  Scenario: Malformed and foreign messages between processes are declined with an event
    Given a store, a router and a runner in this process
    Then messages between processes that are "malformed" get 400 and change nothing
    And messages between processes that are "of another core" get 403 and change nothing
    And messages between processes that are "of another version" get 403 and change nothing
    And messages between processes that are "without a core" get 403 and change nothing

  Scenario Outline: A requester that hangs up <when> frees its runner
    Given a store, a router and a runner in this process
    When a requester asks for 400 tokens and hangs up "<when>"
    Then the run is cancelled before its end

    Examples:
      | when                   |
      | in the stream          |
      | before the first token |

  Scenario: A requester that hangs up during prefill is noticed before the first token
    Given a store, a router and a runner in this process whose prefill takes 20000 ms
    When a requester asks for 400 tokens and hangs up "before the first token"
    Then the router releases the runner before its prefill ends

  Scenario: Run-once work that is submitted again gets its recorded result
    Given a store, a router and a runner in this process
    When run-once work "k1" is submitted
    Then the reply is 200 "[DONE]"
    When run-once work "k1" is submitted
    Then the reply is 409 "already_done"

  Scenario: A tenant's quota is enforced at the home of its unit
    Given a store, a router and a runner in this process
    When a tenant with a quota of 5 submits 8 lookups
    Then 5 are served and 3 declined for an exhausted quota with a retry time

  Scenario: Metrics are in the usual text format
    Given a store, a router and a runner in this process
    When run-once work "m1" is submitted
    And the metrics of router and store are read
    Then they contain "craneway_streams_whole_total 1" and "# TYPE craneway_streams_whole_total counter" and "craneway_part_owned{part="

  Scenario: Usage is exported and read back
    Given a store, a router and a runner in this process
    When a tenant with a quota of 5 submits 8 lookups
    And the command line is run with "craneway usage export --at OPERATOR --out target/usage.csv"
    Then it exits with 0 and prints ""
    And the export holds 5 whole rows of 1 token and 3 quota_spent rows of tenant office-zagreb-centre in zagreb

  Scenario Outline: Wrong startup values and flags end with code 2 and one message
    Given a startup file '{"name":"a b","zone":"","partner":"nowhere","colour":"red","seeds":["127.0.0.1:1"]}'
    When the command line is run with "<line>"
    Then it exits with <code> and prints "<text>"

    Examples:
      | line                                                   | code | text                                                                                             |
      | router --startup target/startup.json                   | 2    | /name: does not & /zone: does not & /partner: & /seeds: must have at least 3 & colour & property 'requester' not found |
      | store --startup target/startup.json                    | 2    | property 'data' not found & /zone: does not                                                                |
      | store --startup target/none.json                       | 2    | cannot be read                                                                                   |
      | router --colour red                                    | 2    | Unknown option                                                                                   |
      | craneway status --at here                              | 2    | is not IP:PORT                                                                                   |
      | craneway manifest send target/none.json --base 0 --at 127.0.0.1:1 | 2 | cannot read                                                                              |
      | craneway manifest check target/startup.json            | 3    | not valid                                                                                        |
      | craneway load --to 127.0.0.1:1 --service s --work a    | 2    | is not NAME:SHARE                                                                                |
      | craneway plan confirm seven --at 127.0.0.1:1           | 2    | seven                                                                                            |
      | craneway fleet target/startup.json --folder target/x   | 3    | not valid                                                                                        |
      | craneway replay --sweep all                            | 2    | is not FROM-TO                                                                                   |
      | craneway replay seven                                  | 2    | seven                                                                                            |
      | craneway measure weather --seeds 1-2                   | 2    | unknown measurement                                                                              |
      | craneway replay 1 --shape moon                         | 2    | is none of                                                                                       |
      | craneway usage export --at 127.0.0.1:1 --out target/u.csv --format xls | 2 | is not csv                                                                           |
      | craneway usage export --at 127.0.0.1:1 --out target/u.csv --from noon  | 2 | is no time                                                                           |
