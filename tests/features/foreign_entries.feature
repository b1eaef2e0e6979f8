Feature: Entries that another writer has put among those that are read

  # Read in the code: an entry that did not fit kept the one before it in use, a state that
  # is neither of the two counted as ready, and an address that cannot be one was taken.
  Scenario Outline: An upstream's entry whose <field> is <value>
    When an entry whose <field> is <value> stands between two good ones
    Then it names <what> to use, the others hold, and one line of the log tells of it

    Examples:
      | field      | value                  | what        |
      | service    | as it should be        | an upstream |
      | born       | missing                | an upstream |
      | aNewField  | [{"nobody": "knows"}]  | an upstream |
      | zone       | "elsewhere"            | an upstream |
      | coldLeftMs | 0.5                    | an upstream |
      | state      | "draining"             | an upstream |
      | service    | missing                | nothing     |
      | service    | null                   | nothing     |
      | service    | ""                     | nothing     |
      | service    | 7                      | nothing     |
      | service    | ["menus"]              | nothing     |
      | address    | missing                | nothing     |
      | address    | null                   | nothing     |
      | address    | ""                     | nothing     |
      | address    | "10.0.0.1"             | nothing     |
      | address    | "10.0.0.1:"            | nothing     |
      | address    | "10.0.0.1:http"        | nothing     |
      | address    | "10.0.0.1:0"           | nothing     |
      | address    | "10.0.0.1:-1"          | nothing     |
      | address    | "10.0.0.1:65536"       | nothing     |
      | address    | "10.0.0.1:1e3"         | nothing     |
      | address    | "10.0.0.1:٣"           | nothing     |
      | address    | "300.0.0.1:80"         | nothing     |
      | address    | ":80"                  | nothing     |
      | address    | "a b:80"               | nothing     |
      | address    | "10.0.0.1:80\r\nx: y"  | nothing     |
      | address    | 80                     | nothing     |
      | zone       | missing                | nothing     |
      | zone       | null                   | nothing     |
      | zone       | ""                     | nothing     |
      | zone       | 1                      | nothing     |
      | version    | missing                | nothing     |
      | version    | 1                      | nothing     |
      | slots      | missing                | nothing     |
      | slots      | 0                      | nothing     |
      | slots      | -8                     | nothing     |
      | slots      | "8"                    | nothing     |
      | slots      | 8.5                    | nothing     |
      | slots      | null                   | nothing     |
      | slots      | true                   | nothing     |
      | slots      | 1000000000             | nothing     |
      | slots      | 1e400                  | nothing     |
      | state      | missing                | nothing     |
      | state      | "gone"                 | nothing     |
      | state      | "READY"                | nothing     |
      | state      | ""                     | nothing     |
      | state      | null                   | nothing     |
      | state      | 1                      | nothing     |
      | coldLeftMs | missing                | nothing     |
      | coldLeftMs | -1                     | nothing     |
      | coldLeftMs | "0"                    | nothing     |
      | coldLeftMs | null                   | nothing     |
      | coldLeftMs | 1e400                  | nothing     |
      | coldLeftMs | 1e300                  | nothing     |
      | seqNo      | missing                | nothing     |
      | seqNo      | "4"                    | nothing     |
      | seqNo      | -1                     | nothing     |
      | born       | null                   | nothing     |
      | born       | "1796260943655"        | nothing     |
      | born       | 1796260943655.5        | nothing     |
      | born       | -1                     | nothing     |
      | born       | true                   | nothing     |
      | born       | 1e30                   | nothing     |

  Scenario Outline: An upstream's entry that is <bytes>
    When an entry that is <bytes> stands between two good ones
    Then it names nothing to use, the others hold, and one line of the log tells of it

    Examples: with the bytes as a literal
      | bytes                       |
      | b''                         |
      | b'null'                     |
      | b'[]'                       |
      | b'"menus"'                  |
      | b'1'                        |
      | b'{'                        |
      | b'{}'                       |
      | b'\x00\xff\xfe'             |
      | b'{"service": "\xff"}'      |
      | b'{"service": NaN}'         |
      | b'[' * 100000               |
      | b'{"x":' * 100000           |
      | b'{"slots": ' + b'9' * 9000 |

  Scenario Outline: An upstream's entry under the key <key>
    When a good entry under the key <key> stands between two good ones
    Then it names <what> to use, the others hold, and one line of the log tells of it

    Examples: an id goes into a header
      | key        | what        |
      | i-7f3a91c2 | an upstream |
      | a b        | nothing     |
      | a\nb: c    | nothing     |
      | é          | nothing     |
      | a\x00      | nothing     |

  Scenario Outline: An entry that was good <becomes>
    When an entry that was good becomes <becomes>
    Then it names <what> to use, the others hold, and one line of the log tells of it

    Examples:
      | becomes                | what        |
      | b'{}'                  | nothing     |
      | b'\xff'                | nothing     |
      | good again after b'{}' | an upstream |

  Scenario Outline: Another instance's row that is <bytes>
    When a row of an instance that is <bytes> stands between two good ones
    Then the other instances are known, and the polls go on

    Examples:
      | bytes                                                 |
      | b''                                                   |
      | b'[]'                                                 |
      | b'{"boot": 1}'                                        |
      | b'\xff'                                               |
      | b'[' * 100000                                         |
      | b'{"boot": "b", "peers": "", "zone": "a"}'            |
      | b'{"boot": "b", "peers": "\\u0000", "zone": "a"}'     |
      | b'{"boot": "b", "peers": "nowhere", "zone": "a"}'     |
      | b'{"boot": "b", "peers": "1.1.1.1:99999999", "zone": "a"}' |

  Scenario Outline: A job's row that is <bytes>
    When a row of a job that is <bytes> stands between two good ones
    Then the other jobs are known, and one line of the log tells of it

    Examples: the last is good, but names another job than its key
      | bytes           |
      | b''             |
      | b'[]'           |
      | b'{}'           |
      | b'\xff'         |
      | b'[' * 100000   |
      | another job's   |
