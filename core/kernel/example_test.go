package kernel_test

import (
	"context"
	"fmt"

	"ibisfold.example/core/kernel"
)

type greeter struct{ word string }

func (g greeter) Run(context.Context) error {
	fmt.Println(g.word)

	return nil
}

func ExampleKernel() {
	k := &kernel.Kernel{}
	_ = k.Register("greeter", greeter{
		word: "hello",
	})

	g, err := kernel.Find[greeter](k, "greeter")
	fmt.Println(g.word, err)
	fmt.Println(k.Run(context.Background()))
	// Output:
	// hello <nil>
	// hello
	// <nil>
}
