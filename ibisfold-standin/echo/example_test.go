package echo_test

import (
	"fmt"

	"ibisfold.example/ibisfold-standin/echo"
)

func ExampleAsk() {
	a := echo.Ask{
		Service: 7,
		Parts:   2,
		Bytes:   100,
	}
	b := echo.Ask{}
	fmt.Println(b.Decode(a.Append(nil)), a == b)
	// Output: <nil> true
}
