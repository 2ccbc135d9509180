package echo_test

import (
	"fmt"

	"ibisfold.example/ibisfold-standin/echo"
)

func ExampleRequest() {
	a := echo.Request{
		Service: 7,
		Parts:   2,
		Bytes:   100,
	}
	b := echo.Request{}
	fmt.Println(b.Decode(a.Append(nil)), a == b)
	// Output: <nil> true
}
