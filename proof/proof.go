// Package proof holds the fault matrix, the stateful fuzzer and the
// measurements of the cores. All of it is test code.
package proof
