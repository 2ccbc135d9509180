// Command ibisfold is not built yet.
package main

func main() {
}
