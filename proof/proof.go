// Package proof tests the decision cores together on a virtual clock: a fault
// matrix, a stateful fuzzer and capacity measurements. All of it is test code.
package proof
