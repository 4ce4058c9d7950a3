Feature: When a stream is complete

  Scenario Outline: Detecting the end of a stream in pieces: <pieces>
    Then the stream pieces "<pieces>" are finished: <done>, complete: <whole>

    Examples:
      | pieces                                   | done | whole |
      | data: 1<n><n>data: [DONE]<n><n>          | yes  | yes   |
      | data: 1<n><n>data: [DONE]<n>             | yes  | no    |
      | data: 1<n><n>data: [DO + NE]<n> + <n>    | yes  | yes   |
      | data: [DONE]<r><n> + <r><n>              | yes  | yes   |
      | data: [DONE]<r><n>                       | yes  | no    |
      | data: [DONE] more<n><n>                  | no   | no    |
      | data: [DONE                              | no   | no    |
      | data: [DONE]<n>data: 2<n><n>             | no   | no    |
