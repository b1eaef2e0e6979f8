Feature: The proxy of the tests loses bytes as a network does

  # Seed 920010 of the soak: a stream was passed on from its event 18 to 30 as whole. The
  # proxy had dropped what it muted and passed later bytes on the same connection.
  Scenario Outline: A way is harmed by <harm> for a while, in the middle of an answer
    Given a proxy before a server that answers in parts
    When three parts are sent <way>, the second beside <harm>
    Then what has come is a beginning of what was sent, and lacks what was lost

    Examples: harms that drop bytes
      | harm    | way              |
      | mute    | to the client    |
      | swallow | from the client  |
      | silence | to the client    |
      | silence | from the client  |
