package main

import (
	"runtime"
	"syscall"
	"time"
)

// minCPUTime is the least CPU time that one measurement uses.
const minCPUTime = 300 * time.Millisecond

// heapOf returns the bytes of the heap that build's result keeps in use.
func heapOf(build func() any) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC() // finalizers of the first collection may free more
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuOf returns the CPU time of one call of f in microseconds, garbage collection
// included.
func cpuOf(f func()) float64 {
	f() // fills caches
	calls := 0
	start := processCPU()
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		calls += batch
		if used := processCPU() - start; used >= minCPUTime {
			return float64(used.Nanoseconds()) / 1e3 / float64(calls)
		}
	}
}

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
