Feature: The time of day jumps

  An instance's incarnation is made of the time of day. One that started again after its
  clock had been set back was taken for its dead predecessor by all that remembered it.

  Scenario Outline: One of <instances> instances starts again after <after> s, its clock <clock> s
    When one of <instances> instances that tell each other of work starts again after <after> s, its clock <clock> s
    Then the others hear it and count its new work within <within> s

    Examples:
      | instances | after | clock | within |
      | 2         | 0.5   | +5    | 2      |
      | 2         | 0.5   | -8    | 4      |
      | 2         | 4     | -8    | 4      |
      | 3         | 4     | -5    | 4      |
      | 5         | 4     | -8000 | 4      |
