Feature: What keeps proper work from running lets go within the time that the work has

  An online request has 5 s, of which an answer takes 1 s; it comes again as it is told.
  An item is due 18 s after it was accepted, of which a run takes 5 s, and is kept for
  60 s. So a request must go within 4 s and an item within 13 s, or within 55 s where
  several things come together.

  Scenario Outline: Verdicts on upstreams: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples: the upstream is well from the last sign against it on
      | evidence                                                                | work                 | most |
      | 3 failures in a row at the only upstream                                | an item              | 13   |
      | 3 failures in a row at the only upstream                                | an online request    | 4    |
      | a connection that the only upstream refused 5 times                     | an item              | 13   |
      | a connection that the only upstream refused 5 times                     | an online request    | 4    |
      | failures of an hour ago and one of now                                  | an item              | 13   |
      | failures of an hour ago and one of now                                  | an online request    | 4    |
      | ends of 8 runs, one by one, at the only upstream                        | an item              | 13   |
      | ends of 8 runs, one by one, at the only upstream                        | an online request    | 4    |
      | a trial at the only upstream that goes on for 5 s                       | an item              | 13   |
      | a trial at the only upstream that goes on for 5 s                       | an online request    | 4    |
      | silences that began at 3 moments                                        | an item              | 13   |
      | silences that began at 3 moments                                        | an online request    | 4    |
      | a share of failures at all upstreams                                    | an item              | 13   |
      | a share of failures at all upstreams                                    | an online request    | 4    |
      | an answer that the only upstream is full                                | an item              | 13   |
      | an answer that the only upstream is full                                | an online request    | 4    |
      | a start of this instance, before any upstream was asked                 | an item              | 13   |
      | a start of this instance, before any upstream was asked                 | an online request    | 4    |
      | an answer that the upstream is full                                     | an item's run        | 13   |
      | a run that broke off                                                    | an item              | 13   |
      | answers with an error status to a request that comes every 0.5 s        | an item              | 13   |
      | a failure of its own while a fifth of all requests fail                 | an item              | 13   |
      | a failure of another item of its job while a fifth of all requests fail | the last of 10 items | 13   |
      | a 421 of the only upstream that is listed elsewhere 0.5 s later         | an item              | 13   |
      | a 421 of the only upstream that is listed elsewhere 0.5 s later         | an online request    | 4    |
      | a 421 of the only upstream that stays listed                            | an item              | 13   |
      | a 421 of the only upstream that stays listed                            | an online request    | 4    |
      | a connection refused for 0.3 s while all else is full                   | an online request    | 4    |
      | a connection that broke while all else is full                          | an online request    | 4    |
      | a connection refused for 0.05 s while all else is full                  | an online request    | 4    |
      | connections that broke for 0.05 s while all else is full                | an online request    | 4    |
      | a connection refused for 0.8 s while all else is full                   | an online request    | 4    |
      | connections that broke for 0.8 s while all else is full                 | an online request    | 4    |
      | a connection refused for 1.1 s while all else is full                   | an online request    | 4    |
      | connections that broke for 1.1 s while all else is full                 | an online request    | 4    |

  Scenario Outline: Slots that seem taken: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples:
      | evidence                                              | work                   | most |
      | 8 runs left unheard at an upstream without reports    | an item                | 13   |
      | 8 runs left unheard at an upstream without reports    | an online request      | 4    |
      | a start and the last report of an upstream, of 8 runs | an item                | 13   |
      | a start and the last report of an upstream, of 8 runs | an online request      | 4    |
      | counts of a peer that has died                        | an item                | 13   |
      | counts of a peer that has died                        | an online request      | 4    |
      | counts of a peer that has died                        | the last of 8 requests | 4    |
      | counts of a peer that lives and is not heard          | an item                | 13   |
      | counts of a peer that lives and is not heard          | an online request      | 4    |
      | counts of a zone that has died                        | an item                | 13   |
      | counts of a zone that has died                        | an online request      | 4    |
      | counts of a zone that has died                        | the last of 8 requests | 4    |
      | counts of a zone that lives and is not heard          | an item                | 13   |
      | counts of a zone that lives and is not heard          | an online request      | 4    |
      | counts of a peer that lives and is not heard          | the last of 8 requests | 4    |
      | counts of a zone that lives and is not heard          | the last of 8 requests | 4    |
      | counts of a zone that lives and is not heard          | the last of 5 requests | 4    |
      | counts of a peer that lives and is not heard          | the last of 5 requests | 4    |

  Scenario Outline: Order and headroom: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples:
      | evidence                                                         | work                   | most |
      | word of 7 that wait elsewhere and never come                     | the last of 8 requests | 4    |
      | word of 7 that wait elsewhere and never come                     | the last of 8 items    | 13   |
      | a wave of 200 a second for 2 s that has passed                   | an item                | 13   |
      | word of 100 that wait elsewhere for a second                     | an online request      | 4    |
      | a second in which 200 requests come that never come again        | an online request      | 4    |
      | one answer of its route that took 4.9 s while other routes' wait | an online request      | 4    |
      | word of 400 online requests a second that take 5 ms each         | an item                | 13   |
      | word of 1000 online requests a second that take 2 ms each        | an item                | 13   |
      | word of 1500 online requests a second that take 1 ms each        | an item                | 13   |
      | word of 350 online requests a second that take 20 ms each        | an item                | 13   |
      | word of 1000 that wait elsewhere for a second                    | an online request      | 4    |
      | word of 100 that wait elsewhere for 2 s                          | an online request      | 4    |
      | a second in which 60 requests come that never come again         | an online request      | 4    |
      | a second in which 700 requests come that never come again        | an online request      | 4    |
      | one answer of its route that took 4 s while other routes' wait   | an online request      | 4    |

  Scenario Outline: Owners and leases: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples:
      | evidence                                                    | work                           | most |
      | an outage of the store of 8 s                               | an item that waited for a slot | 13   |
      | an outage of the store of 8 s                               | an item that was just accepted | 13   |
      | 3 s in which neither the store nor others were heard        | an item                        | 13   |
      | a loss of power of its owner                                | an item                        | 13   |
      | a loss of power of its owner and 4 of 5 others              | an item                        | 13   |
      | a loss of power of its owner among 66                       | an item                        | 13   |
      | an acceptance by an instance without a lease                | an item                        | 13   |
      | an acceptance where the last of 6 in line may start         | an item                        | 13   |
      | tokens of a job that was done at another instance           | a job                          | 13   |
      | a loss of power of its owner and calls of 1 s               | an item                        | 13   |
      | a loss of power of its owner among 720                      | an item                        | 13   |
      | an acceptance by an instance of which nothing else is known | an item                        | 13   |
      | a loss of power of its owner and calls of 0.5 s             | an item                        | 13   |
      | a loss of power of its owner and calls of 0.8 s             | an item                        | 13   |
      | a loss of power of its owner and calls of 1.2 s             | an item                        | 13   |
      | a loss of power of its owner among 200                      | an item                        | 13   |
      | a loss of power of its owner among 453                      | an item                        | 13   |

  Scenario Outline: Several together: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples:
      | evidence                                                     | work    | most |
      | a loss of power of one owner after the other                 | an item | 55   |
      | runs left unheard by a peer that is not heard since          | an item | 55   |
      | a loss of power of its owner and outages of 2 s, 2 s apart   | an item | 55   |
      | a loss of power of its owner and outages of 3 s, 2 s apart   | an item | 55   |
      | a loss of power of its owner and outages of 5 s, 2 s apart   | an item | 55   |

  Scenario Outline: The product's own door: <evidence>, <work>
    Then after <evidence>: <work> may go at <most> s at the latest

    Examples:
      | evidence                                                 | work                      | most |
      | 3 failures in a row of an engine                         | an online request         | 4    |
      | 20 retries at once                                       | an online request's retry | 4    |
      | no report of an engine for 10 s that reports again       | an online request         | 4    |
      | one request a second before at 1 of 63 instances         | one of an account of 5/s  | 4    |
      | answers of 0.15 s a token that were the last             | one of 50 tokens          | 4    |
      | answers of 0.3 s a token that were the last              | one of 50 tokens          | 4    |
      | answers of 2 s a token that were the last                | one of 5 tokens           | 4    |
      | answers of 0.12 s a token that were the last             | one of 200 tokens         | 4    |
      | answers of 0.15 s a token, and engines fast again        | all of 50 tokens          | 4    |
      | answers of 0.3 s a token, and engines fast again         | all of 50 tokens          | 4    |
      | answers of 2 s a token, and engines fast again           | all of 5 tokens           | 4    |
      | reports missed for 5 s of an engine that reports again   | an online request         | 4    |
      | reports missed for 30 s of an engine that reports again  | an online request         | 4    |
      | reports missed for 100 s of an engine that reports again | an online request         | 4    |
