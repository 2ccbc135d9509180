package wire_test

import (
	"fmt"

	"ibisfold.example/core/wire"
)

func Example() {
	b := wire.AppendVarint(nil, 1, 5)
	b = wire.AppendVarint(b, 2, 0)
	b = wire.AppendBytes(b, 3, []byte("ab"))
	fmt.Printf("% x\n", b)
	// Output: 08 05 1a 02 61 62
}
