Feature: Gateways on the users' platform, as processes before stand-ins

  Scenario Outline: A <route> request when the first runner <fault>
    Given 1 gateways and 2 runners
    And every runner is set to <knobs>
    When a client sends a <route> request
    Then the answer is <answer> after <runs> runs

    Examples: answers: status, whole or cut, and the events that came
      | route     | fault                | knobs                                | answer          | runs |
      | stream    | is well              | {"events": 5}                        | 200 whole 1-5   | 1    |
      | stream    | breaks off           | {"cut_next": 1}                      | 200 cut 1-2     | 1    |
      | stream    | breaks off torn      | {"cut_next": 1, "torn": true}        | 200 cut 1-2     | 1    |
      | stream    | breaks off at once   | {"cut_next": 1, "cut_after": 0}      | 502 whole -     | 1    |
      | stream    | sheds                | {"shed_next": 1}                     | 200 whole 1-5   | 1    |
      | stream    | answers for another  | {"cross_next": 1}                    | 502 whole -     | 1    |
      | stream    | fails                | {"fail_next": 1}                     | 500 whole -     | 1    |
      | resumable | breaks off           | {"cut_next": 1}                      | 200 whole 1-5   | 2    |
      | resumable | breaks off torn      | {"cut_next": 1, "torn": true}        | 200 whole 1-5   | 2    |
      | resumable | leaves an event out  | {"skip_next": 1}                     | 200 whole 1-5   | 2    |
      | resumable | answers for another  | {"cross_next": 1}                    | 200 whole 1-5   | 2    |
      | resumable | fails                | {"fail_next": 1}                     | 200 whole 1-5   | 2    |
      | stream    | is busy, says not how | {"fail_next": 1, "fail_status": 503} | 502 whole -    | 1    |
      | stream    | limits, says not how | {"fail_next": 1, "fail_status": 429} | 502 whole -     | 1    |
      | plain     | is busy, says not how | {"fail_next": 1, "fail_status": 503} | 200 whole 1-5  | 2    |
      | plain     | takes 1.5 s          | {"event_s": 0.3}                     | 200 whole 1-5   | 1    |
      | resumable | is another instance  | {"instance": "elsewhere"}            | 503 whole -     | 0    |
      | plain     | breaks off           | {"cut_next": 1}                      | 200 whole 1-5   | 2    |
      | plain     | fails                | {"fail_next": 1}                     | 200 whole 1-5   | 2    |
      | once      | breaks off           | {"cut_next": 1, "cut_after": 0}      | 502 whole -     | 1    |
      | once      | fails                | {"fail_next": 1}                     | 500 whole -     | 1    |
      | once      | sheds                | {"shed_next": 1}                     | 200 whole 1-5   | 1    |

  # Seen: a stream broke off after some events, went on at the last upstream that its
  # route allowed, and that one answered 500. The client had status 200, the events up
  # to the cut and a proper end of the body. The answer's status was only looked at while
  # yet another upstream was allowed, so the failure's empty body went out as the rest.
  # Proved by the log: the resumed request's last attempt had status 500 and the request
  # ended as done.
  Scenario Outline: A stream is cut and every runner answers <status> to go on with it
    Given 1 gateways and 3 runners
    And every runner is set to {"cut_next": 1, "resume_status": <status>}
    When a client sends a resumable request
    Then the answer is 200 cut 1-2 after 3 runs

    Examples: the bodies are empty, and none is an event stream
      | status |
      | 500    |
      | 404    |
      | 200    |

  # Seen: items whose runs were cut after 8 of 30 events were listed as completed with
  # these 8. Cause: the upstream that was to go on answered 200 with neither a body nor a
  # kind; a run that goes on after the last event brings none either, and any answer
  # without a kind passed for such a run. Proved by the log: 'Item run ended.' as broken
  # with 8 events, then as complete with 8.
  Scenario: An item is cut and what is to go on with it is an empty answer of no kind
    Given 1 gateways and 1 runners
    And every runner is set to {"cut_next": 1, "resume_status": 200}
    When a job of 1 items is submitted
    And 1 s pass
    And every runner is now set to {"resume_status": 0}
    Then all its items are completed, each listed once and whole

  Scenario Outline: A call that <case>
    Given 1 gateways and 1 runners
    When a client calls <method> <host> <target> with <headers> and <size> bytes
    Then the answer is <status> at once and no runner has run anything

    Examples:
      | case                          | method | host             | target           | headers                                      | size   | status |
      | has no route                  | POST   | nowhere.example  | /ask/x           | {"request-id": "r", "deadline-ms": "5000"}   | 10     | 404    |
      | has a path of no route        | POST   | stream.example   | /other/x         | {"request-id": "r", "deadline-ms": "5000"}   | 10     | 404    |
      | has no request id             | POST   | stream.example   | /ask/x           | {"deadline-ms": "5000"}                      | 10     | 400    |
      | has a deadline of no number   | POST   | stream.example   | /ask/x           | {"request-id": "r", "deadline-ms": "soon"}   | 10     | 400    |
      | has a negative deadline       | POST   | stream.example   | /ask/x           | {"request-id": "r", "deadline-ms": "-5"}     | 10     | 400    |
      | has too large a body          | POST   | stream.example   | /ask/x           | {"request-id": "r", "deadline-ms": "5000"}   | 200000 | 413    |
      | has too large a header        | POST   | stream.example   | /ask/x           | {"request-id": "r", "x-long": "LONG"}        | 10     | 431    |
      | submits a job that is no JSON | POST   | jobs.example     | /week/submit     | {"request-id": "j"}                          | 10     | 400    |
      | submits no item               | POST   | jobs.example     | /week/submit     | {"request-id": "j", "x-body": "no items"}    | 0      | 400    |
      | submits too many items        | POST   | jobs.example     | /week/submit     | {"request-id": "j", "x-body": "201 items"}   | 0      | 400    |
      | submits a body of no base64   | POST   | jobs.example     | /week/submit     | {"request-id": "j", "x-body": "no base64"}   | 0      | 400    |
      | submits one item id twice     | POST   | jobs.example     | /week/submit     | {"request-id": "j", "x-body": "twice"}       | 0      | 400    |
      | gets a job's route            | GET    | jobs.example     | /week/submit     | {"request-id": "j"}                          | 0      | 400    |
      | reads a job that is not there | GET    | jobs.example     | /v1/lots/none    | {}                                           | 0      | 404    |
      | reads from no position        | GET    | jobs.example     | /v1/lots/none?after=x | {}                                      | 0      | 400    |
      | ends a job that is not there  | DELETE | jobs.example     | /v1/lots/none    | {}                                           | 0      | 404    |

  Scenario Outline: A job with <fault>
    Given 1 gateways and 2 runners
    And every runner is set to <knobs>
    When a job of <items> items is submitted
    Then all its items are <state>, each listed once and whole

    Examples:
      | fault                       | knobs                                 | items | state     |
      | runners that are well       | {"events": 20}                        | 12    | completed |
      | cut runs                    | {"events": 20, "cut_next": 5}         | 6     | completed |
      | torn runs                   | {"cut_next": 3, "torn": true}         | 6     | completed |
      | runs that leave events out  | {"skip_next": 3}                      | 6     | completed |
      | answers for another         | {"cross_next": 2}                     | 4     | completed |
      | some failures               | {"fail_next": 1}                      | 4     | completed |
      | nothing but failures        | {"failing": true}                     | 3     | failed    |
      | items that cannot be done   | {"impossible": "item"}                | 3     | failed    |

  Scenario Outline: A runner that answers with <what>
    Given 1 gateways and a runner that answers <bytes>
    When a client sends a stream request
    Then the answer is 502 and gateway 1 still serves

    Examples:
      | what                  | bytes                                                       |
      | no HTTP               | what is this\r\n\r\n                                        |
      | an upgrade            | HTTP/1.1 101 Switching\r\nrequest-id: request-1\r\n\r\n      |
      | an interim status     | HTTP/1.1 103 Hints\r\n\r\n                                  |
      | a broken length       | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\ncontent-length: x\r\n\r\n |
      | two lengths           | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n |
      | a broken header       | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\nno colon\r\n\r\n |
      | nothing               | \x20                                                        |
      | no stamp              | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\n\r\nid: 1\ndata: a\n\n |
      | an empty stamp        | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp:\r\n\r\nid: 1\ndata: a\n\n |
      | two stamps            | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\nresponse-stamp: t\r\n\r\nid: 1\ndata: a\n\n |
      | two ids               | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nrequest-id: request-2\r\nresponse-stamp: s\r\n\r\nid: 1\ndata: a\n\n |
      | a number of digits    | HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\n\r\nid: 77777777777777777777\ndata: a\n\n |

  Scenario Outline: A stream without a length that <what>
    Given 1 gateways and a runner that answers HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\n\r\n<events>
    When a client sends a <route> request
    Then the stream is <end> and has events <passed>

    Examples:
      | what                    | route     | events                                                   | end   | passed |
      | ends                    | stream    | id: 1\ndata: a\n\nid: 2\ndata: b\n\n                     | whole | 1-2    |
      | is reset                | stream    | id: 1\ndata: a\n\nid: 2\ndata: b\n\n<reset>              | cut   | 1-2    |
      | is reset                | resumable | id: 1\ndata: a\n\nid: 2\ndata: b\n\n<reset>              | cut   | 1-2    |
      | ends inside an event    | stream    | id: 1\ndata: a\n\nid: 2\nda                             | cut   | 1-1    |
      | leaves an event out     | stream    | id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\n | cut   | 1-2    |
      | leaves an event out     | resumable | id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\n | cut   | 1-2    |

  # Seen on the wire: a client of HTTP/1.0 takes the end of the connection for the end of
  # a body that has no length, and an answer that breaks off ends just so, since the server
  # closes what is left open. To clients of HTTP/1.1 the last chunk is missing.
  Scenario Outline: On the wire a <route> answer <what> is <end> for a client of HTTP/<version>
    Given 1 gateways and a runner that answers HTTP/1.1 200 OK\r\nrequest-id: request-1\r\nresponse-stamp: s\r\n<answer>
    When a client of HTTP/<version> sends a <route> request and reads to the end
    Then by its own framing the answer is <end>

    Examples:
      | route     | what                    | version | answer                                                                    | end   |
      | stream    | without a length        | 1.1     | \r\nid: 1\ndata: a\n\n                                                   | whole |
      | stream    | without a length        | 1.0     | \r\nid: 1\ndata: a\n\n                                                   | whole |
      | stream    | that ends in an event   | 1.1     | \r\nid: 1\ndata: a\n\nid: 2                                              | cut   |
      | stream    | that ends in an event   | 1.0     | \r\nid: 1\ndata: a\n\nid: 2                                              | cut   |
      | resumable | that ends in an event   | 1.0     | \r\nid: 1\ndata: a\n\nid: 2                                              | cut   |
      | stream    | short of its length     | 1.1     | content-length: 99\r\n\r\nid: 1\ndata: a\n\n                             | cut   |
      | stream    | short of its length     | 1.0     | content-length: 99\r\n\r\nid: 1\ndata: a\n\n                             | cut   |
      | resumable | short of its length     | 1.1     | content-length: 99\r\n\r\nid: 1\ndata: a\n\n                             | cut   |
      | resumable | short of its length     | 1.0     | content-length: 99\r\n\r\nid: 1\ndata: a\n\n                             | cut   |
      | resumable | of its length           | 1.0     | content-length: 15\r\n\r\nid: 1\ndata: a\n\n                             | whole |
      | stream    | without its last chunk  | 1.1     | transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n              | cut   |
      | stream    | without its last chunk  | 1.0     | transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n              | cut   |
      | stream    | with its last chunk     | 1.0     | transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n     | whole |
      | once      | without its last chunk  | 1.1     | transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n                           | cut   |
      | once      | without its last chunk  | 1.0     | transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n                           | cut   |
      | once      | short of its length     | 1.0     | content-length: 9\r\n\r\nbody                                             | cut   |
      | once      | with its last chunk     | 1.0     | transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n                  | whole |

  Scenario Outline: On the wire a stream whose <cause> is cut for a client of HTTP/<version>
    Given 1 gateways and 1 runners
    And every runner is set to {"events": 200, "event_s": 0.1}
    When a client of HTTP/<version> sends a stream request and reads to the end, <cause>
    Then by its own framing the answer is cut

    Examples: the last one's runs outlast the grace period of 8 s
      | cause                   | version |
      | time is up after 1 s    | 1.1     |
      | time is up after 1 s    | 1.0     |
      | gateway stops after 1 s | 1.1     |
      | gateway stops after 1 s | 1.0     |

  Scenario: What is forwarded is what the client sent
    Given 1 gateways and 1 runners
    When a client sends a stream request
    Then the runner got method, target and body unchanged, and a shorter deadline

  Scenario: A client that leaves ends the run
    Given 1 gateways and 1 runners
    And every runner is set to {"events": 200, "event_s": 0.05}
    When a client leaves after the first event of a stream
    Then the run at the runner ends

  Scenario: A client that falls silent in the middle of its request holds no call for long
    Given 1 gateways and 1 runners
    When a client sends a stream request of 9 bytes and falls silent after 4
    And 4 s pass
    Then gateway 1 has no call in flight
    And the client was answered 408

  # A process that stood still has not read what waits for it: its timers prove nothing.
  Scenario: The rest of a request arrives while the process stands still
    Given 1 gateways and 1 runners
    When a client sends a stream request of 9 bytes and falls silent after 4
    And 1 s pass
    And gateway 1 stands still for 4 s while the last 5 bytes arrive
    Then the client was answered 200

  Scenario Outline: Events of <count> <runs> arrive while the process stands still
    Given 1 gateways and 2 runners
    And every runner is set to {"events": 60, "event_s": 0.05}
    And the gateways have been up for 2 s
    When gateway 1 stands still for 1.5 s in the middle of <count> <runs>
    Then each was run once, and none was taken for silent

    Examples: after a silence of 0.6 s and 1 s runs go elsewhere
      | count | runs               |
      | 6     | resumable requests |
      | 6     | items of a job     |

  # A client that is gone without a word, or that reads no further, leaves a full send
  # buffer; what is sent into it can't be cancelled, so it held its run and the process.
  Scenario Outline: A client that takes no more of its answer <holds>
    Given 1 gateways and 1 runners
    And every runner is set to {"events": 400, "event_s": 0.005, "event_bytes": 60000}
    When a client sends a <route> request and reads nothing
    And <event>
    Then <outcome>

    Examples: the route's timeout is 5 s, a stop's grace 8 s
      | holds                  | route  | event                           | outcome                                     |
      | holds no run for long  | stream | 8 s pass                        | the run at the runner ends                  |
      | holds no plain run     | plain  | 8 s pass                        | the run at the runner ends                  |
      | holds no call for long | stream | 8 s pass                        | gateway 1 has no call in flight             |
      | holds up no stop       | stream | gateway 1 is stopped as planned | gateway 1 has exited with code 0 within 8 s |

  Scenario: A silent runner costs a resumable request a moment, and others the deadline
    Given 1 gateways and 2 runners
    And runner 1 is set to {"silent": true}
    When clients send stream requests with 1500 ms until one meets the silent runner
    Then that one was answered 504 by its deadline
    When 6 clients send a resumable request
    Then all answers are whole

  Scenario: Online requests find a slot beside batch
    Given 2 gateways and 1 runners
    And every runner is set to {"events": 60, "event_s": 0.05}
    When a job of 12 items is submitted
    And 6 clients send a stream request to gateway 2
    Then all answers are whole
    And none waited at the runner until an item was done
    And all its items are completed, each listed once and whole

  Scenario: A job submitted again is accepted once, at any gateway
    Given 2 gateways and 1 runners
    When a job of 4 items is submitted
    And the same job is submitted again to gateway 2
    Then all its items are completed, each listed once and whole

  Scenario: A job that does not fit is refused and nothing of it runs
    Given 2 gateways and 1 runners
    And every runner is set to {"events": 400, "event_s": 0.05}
    When jobs of 30 items are submitted until one is refused with 429
    Then at most 10500 tokens wait and no item of the refused job has run

  Scenario: A job that is ended stops
    Given 2 gateways and 1 runners
    And every runner is set to {"events": 400, "event_s": 0.05}
    When a job of 30 items is submitted
    And the job is ended at gateway 2
    Then no item of it runs any more after 3 s
    And it can be ended again

  # Seen in a soak: a job was accepted, and nothing of it was listed 60 s after all had
  # healed. Its client can have asked for its end and got no answer: the end takes effect
  # later, and a job that has ended owes nothing more. Its row tells which it was.
  Scenario Outline: A job whose end is asked for while the store <does>, without an answer
    Given 2 gateways and 1 runners
    And every runner is set to {"events": 100, "event_s": 0.05}
    When a job of 4 items is submitted
    And its end is asked for while the store is set to <knobs>, and its client leaves
    Then its row says <ended> 3 s later, and <done> of its items are completed after 15 s
    And every gateway lists all its items, the others as given up

    Examples:
      | does                    | knobs                                      | ended     | done    |
      | loses its answers       | {"lose_share": 1.0}                        | ended     | not all |
      | does nothing            | {"hang": true}                             | not ended | all     |

  # The same, in the course in which it was first seen: the owner of a job is killed, its
  # end is asked at another gateway, and both this and the takeover get no answer.
  Scenario: A job's owner is killed, and its end and its takeover get no answer
    Given 3 gateways and 2 runners
    And every runner is set to {"events": 200, "event_s": 0.05}
    When a job of 4 items is submitted
    And its owner is killed, and its end is asked while the store loses its answers for 8 s
    Then every gateway lists all its items, the others as given up

  Scenario Outline: The gateway that runs a job is <done>
    Given 3 gateways and 2 runners
    And every runner is set to {"events": 60, "event_s": 0.05}
    When a job of 12 items is submitted
    And gateway 1 is <done> after 1 s
    Then all its items are completed, each listed once and whole, at gateway 2

    Examples:
      | done                 |
      | killed               |
      | killed and restarted |
      | stopped as planned   |
      | paused for 6 s       |

  Scenario: A gateway that the store turns away hands its job on, and no work is lost
    Given 3 gateways and 2 runners
    And every runner is set to {"events": 120, "event_s": 0.05}
    When a job of 12 items is submitted
    And 1 s pass
    And the store turns gateway 1 away
    Then all its items are completed, each listed once and whole, at gateway 2
    And hardly an event was made twice

  Scenario Outline: The store <trouble> while a job runs
    Given 2 gateways and 2 runners
    And every runner is set to {"events": 40, "event_s": 0.05}
    When a job of 12 items is submitted
    And the store is set to <knobs> for 3 s
    Then all its items are completed, each listed once and whole

    Examples:
      | trouble                | knobs                                    |
      | is away                | {"outage": true}                         |
      | is silent              | {"hang": true}                           |
      | is slow                | {"latency_s": 0.4}                       |
      | loses answers          | {"lose_share": 0.4}                      |
      | answers late           | {"lose_share": 0.4, "late_effect_s": 1.5}|
      | has lost its history   | {"dropped_before": 1000000}              |

  # Seen: all open connections of five of nine instances went silent at once, without a
  # reset, while new ones worked. Two seconds later each of the five said that the store
  # was away, three of them twice within a second, and its polls and renewals came 2 s
  # late. Cause: a call met one of the kept connections, waited its whole time there, and
  # left the next call to meet the next one. Proof: 'The store is away.' with 'no answer
  # within 2.0 s' four polls apart, with answers on new connections in between.
  Scenario Outline: While all open connections to the store are silent, <what>
    Given 2 gateways and 2 runners, each reached by a link
    And <beforehand>
    When all open connections to the store go silent
    And <event>
    Then <outcome>
    And every gateway has dropped silent connections, and none took the store as away

    Examples:
      | what                          | beforehand                            | event                                 | outcome                                                    |
      | a job is accepted at once     | the store is set to {}                | a job of 4 items is submitted         | the job was acknowledged within 1 s                        |
      | a job is accepted on a slow store | the store is set to {"latency_s": 0.1} | a job of 4 items is submitted    | the job was acknowledged within 2 s                        |
      | new routes come into force    | the store is set to {}                | the operator removes the stream route | within 2 s every gateway answers a stream request with 404 |
      | a leaving runner is let go    | the store is set to {}                | runner 1 is leaving                   | after 2 s runner 1 gets none of 6 stream requests          |
      | jobs go on                    | a job of 12 items that take 2 s runs  | 1 s pass                              | all its items are completed, each listed once and whole    |

  Scenario: A store that is slow is not taken for silent connections
    Given 2 gateways and 2 runners, each reached by a link
    When the store is set to {"latency_s": 0.5} for 5 s
    Then no gateway has dropped silent connections, and none took the store as away

  Scenario: With the store away a job is refused as not run, online requests are served
    Given 1 gateways and 1 runners
    And the store is set to {"outage": true}
    When a job of 2 items is submitted
    Then the answer is 503 with a time to come back
    When a client sends a stream request
    Then the answer is 200 whole 1-5 after 1 runs

  # Seen: gateways that reached the store by different addresses took each other for
  # instances of other fleets and dropped all messages. Each heard no peer, and no
  # metric nor any line above debug told of it.
  Scenario: Messages of another fleet are counted, and warned of once
    Given 1 gateways and 1 runners
    When 3 messages of another fleet reach gateway 1
    Then gateway 1 counts 3 dropped messages with reason wrong_key
    And gateway 1 warns of another fleet once

  # Seen: instances that reached the store each by an address of its own heard no peer,
  # and waited for slots as if each were alone. The key of their messages was made of the
  # store's address; each side counted the other's messages as another fleet's.
  Scenario: Gateways that reach the store by different addresses hear each other
    Given 3 gateways and 1 runners, each reached by a link
    Then within 5 s every gateway hears 2 others
    And no gateway has dropped messages of another fleet

  Scenario: A gateway that starts while the store is away learns from its peers
    Given 2 gateways and 1 runners
    When the store is set to {"outage": true}
    And gateway 2 is killed
    And gateway 2 is started again
    Then gateway 2 is ready
    When a client sends a stream request to gateway 2
    Then the answer is 200 whole 1-5 after 1 runs

  Scenario: A gateway that knows no routes refuses for now, and is not ready
    Given 1 gateways and 1 runners
    When the store is set to {"outage": true}
    And gateway 1 is killed
    And gateway 1 is started again
    And a client sends a stream request once the port is open
    Then the answer is 503 with a time to come back
    And gateway 1 is not ready

  Scenario: A configuration is in force within 2 s, and one that does not fit changes nothing
    Given 2 gateways and 1 runners
    When the operator removes the stream route
    Then within 2 s every gateway answers a stream request with 404
    When the operator writes a document that does not fit
    And a client sends a resumable request
    Then the answer is 200 whole 1-5 after 1 runs

  Scenario Outline: A runner that <leaves> gets no new request after 2 s
    Given 1 gateways and 2 runners
    When runner 1 <leaves>
    And 2 s pass
    And 6 clients send a stream request
    Then all answers are whole
    And runner 1 has run nothing

    Examples:
      | leaves     |
      | is leaving |
      | is removed |

  Scenario Outline: A runner that fails every second request is found by its results
    Given 1 gateways and 3 runners
    And runner 1 is set to {"fail_every": 2}
    When 40 clients send a <route> request one after the other
    Then at most <failed> failed, and runner 1 ran at most <runs>

    Examples: the gateway prefers runner 1, which is in its own availability zone
      | route  | failed | runs |
      | stream | 4      | 12   |
      | once   | 4      | 12   |

  Scenario: A gateway that starts again leaves alone what runs of the time before hold
    Given 1 gateways and 2 runners
    And runner 1 is set to {"foreign": 8}
    When gateway 1 is killed and starts again
    And 6 stream requests come to it side by side
    Then all of them are answered within 0.5 s
    And runner 1 has run nothing
    And after runner 1 is free both run requests again

  # Seen: open connections went silent without a reset, and for seconds afterwards
  # requests to upstreams with free slots had their first event up to 0.9 s late.
  # How: an upstream cannot see that a silent connection's caller has gone, and runs on
  # to the end of the answer. The caller gave the run up, took its slot for free, and
  # sent others there, which queued behind it at the upstream.
  # Proof: the upstream's own report showed more runs than all instances had in flight.
  Scenario Outline: Runs whose connection has gone silent keep their slots: <runs>
    Given 2 gateways and 2 runners
    And every runner is set to {"events": 50, "event_s": 0.05}
    And the gateways have been up for 2 s
    When of 6 <runs> those at runner 1 go silent for good and go on at runner 2
    And 6 stream requests come to gateway <number> beside the silent runs
    Then all are answered, and none waited at a runner for more than 0.2 s
    And all of them ran at most 1 s after the silent runs had ended

    Examples: the first instance has given them up, the second is told
      | runs               | number |
      | resumable requests | 1      |
      | resumable requests | 2      |
      | items of a job     | 1      |
      | items of a job     | 2      |

  Scenario: A planned stop cuts nothing and turns new clients away only at its end
    Given 2 gateways and 1 runners
    And every runner is set to {"events": 40, "event_s": 0.05}
    When 4 clients send a stream request while gateway 1 is stopped as planned
    Then all answers are whole
    And gateway 1 has exited with code 0 within 8 s

  Scenario: A reload keeps everything running
    Given 1 gateways and 1 runners
    When gateway 1 is told to reload
    And a client sends a stream request
    Then the answer is 200 whole 1-5 after 1 runs

  Scenario Outline: The cause of <failure> is found by its id alone
    Given 2 gateways and 1 runners
    And every runner is set to <knobs>
    When <what> fails
    Then "explain" with its id and the logs of all gateways tells "<cause>"

    Examples:
      | failure                  | knobs              | what             | cause                             |
      | a refusal                | {"shed_next": 99}  | a stream request | refused with 503                  |
      | a stream that broke off  | {"cut_next": 1}    | a stream request | the answer was cut                |
      | an item that failed      | {"failing": true}  | an item of a job | ended=failed events=0 failures=3  |
      | an item that failed late | {"failing": true}  | an item of a job | Job submitted. host=jobs.example job=job-1 |

  Scenario: The deploy file builds in a clean checkout, and its role serves
    Given a clean checkout built as the deploy file says
    When a client sends a stream request
    Then the answer is 200 whole 1-5 after 1 runs

  Scenario Outline: A short soak in which runners end, some under a request, seed <seed>
    Then a soak of 6 s with seed <seed>, in which runners end, breaks no promise

    Examples: a seed that ever failed stays here, with a line on the cause
      # 203: items ran after their job's end; the index had skipped the change.
      | seed |
      | 26   |
      | 203  |

  Scenario Outline: A short soak, seed <seed>
    Then a soak of 6 s with seed <seed> breaks no promise

    Examples: a seed that ever failed stays here, with a line on the cause
      # 1: an empty answer of no kind ended items that had been cut; listed short.
      # 869888: a job was listed nowhere 60 s after all had healed; another gateway's
      # takeover had lost its answer. Seen once in 15 s of play; the cause is open.
      | seed   |
      | 7      |
      | 1      |
      | 869888 |
