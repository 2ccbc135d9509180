package document_test

import "runtime"

// allocatedBytes returns the number of bytes that f allocates. It counts the
// whole process, so tests that use it must not run in parallel with others.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)

	return after.TotalAlloc - before.TotalAlloc
}
