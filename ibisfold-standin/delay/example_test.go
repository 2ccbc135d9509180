package delay_test

import (
	"fmt"
	"time"

	"ibisfold.example/ibisfold-standin/delay"
)

func ExampleLine() {
	l := delay.NewLine()
	defer l.Close()

	done := make(chan struct{})
	l.After(time.Millisecond, func() {
		fmt.Println("later")
		close(done)
	})
	<-done
	// Output: later
}
