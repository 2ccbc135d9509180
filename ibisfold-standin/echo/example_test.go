package echo_test

import (
	"fmt"

	"ibisfold.example/ibisfold-standin/echo"
)

func ExampleRequestPayload() {
	a := echo.RequestPayload{
		Service: 7,
		Parts:   2,
		Bytes:   100,
	}
	b := echo.RequestPayload{}
	fmt.Println(b.Decode(a.Append(nil)), a == b)
	// Output: <nil> true
}
