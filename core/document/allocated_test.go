package document_test

import "runtime"

// allocated returns the bytes that f allocates. Tests that use it don't run in
// parallel with others.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)

	return after.TotalAlloc - before.TotalAlloc
}
