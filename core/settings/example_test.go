package settings_test

import (
	"fmt"

	"ibisfold.example/core/document"
	"ibisfold.example/core/settings"
)

func ExampleParse() {
	text := `
Zone: iphofen
Listen: 127.1.1.11:7100
HTTP: 127.1.1.11:9100
Consul: 127.0.0.1:8500
Name: rufdienst-1
Target: 127.1.1.11
Port: 7200
Keys:
  - ID: 1
    Secret: 5d0c1f7a94b2
`
	err := settings.Parse([]byte(text), &settings.Agent{})
	for _, p := range document.Problems(err) {
		fmt.Println(p)
	}
	// Output:
	// 5: Consul: not a URL such as http://127.0.0.1:8500
	// 7: Target: "127.1.1.11" is not an address such as 127.0.0.1:80
	// 8: Port: unknown field
	// 11: Keys[0].Secret: secret is shorter than 16 bytes
}
