package ticket_test

import (
	"fmt"

	"ibisfold.example/core/document"
	"ibisfold.example/core/ticket"
)

func ExampleParse() {
	text := `Ticket: 4
Zones:
  - Name: iphofen
    InService: false
Removed:
  - Zone: iphofen
`
	_, err := ticket.Parse([]byte(text))
	for _, p := range document.Problems(err) {
		fmt.Println(p)
	}
	// Output:
	// 6: Removed[0].Zone: Zone "iphofen" is already in Zones[0].Name of this ticket
}
