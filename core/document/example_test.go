package document_test

import (
	"fmt"

	"ibisfold.example/core/document"
)

func ExampleDecode() {
	var v struct {
		Name  string
		Slots int
	}
	text := "Name: rufdienst-1\nSlots: two\nSlots: 2\nColour: red\n"
	_, problems := document.Decode([]byte(text), &v)
	for _, p := range problems {
		fmt.Println(p)
	}
	// Output:
	// 2: Slots: expected a whole number, found text
	// 3: Slots: duplicate key, already given in line 2
	// 4: Colour: unknown field
}
