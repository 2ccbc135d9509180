package fabric_test

import (
	"fmt"
	"time"

	"ibisfold.example/ibisfold-standin/fabric"
)

func ExamplePath_SetRules() {
	a := fabric.Node{
		Zone: "iphofen",
	}
	b := fabric.Node{
		Zone: "escherndorf",
	}
	p := fabric.NewPath(5*time.Millisecond, 0, 1)
	fmt.Println(p.Next(a, b))
	p.SetRules([]fabric.Rule{{
		From: "iphofen",
		To:   "escherndorf",
		Loss: 1,
	}})
	fmt.Println(p.Next(b, a))
	// Output:
	// 5ms false
	// 5ms true
}
