package cluster

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// BenchmarkStart measures the CPU time per node until all nodes of a cluster that
// starts at the same time have found each other.
func BenchmarkStart(b *testing.B) {
	for _, nodes := range []int{30, 60, 100} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			var used time.Duration
			for b.Loop() {
				used += startAll(b, nodes)
			}
			b.ReportMetric(float64(used.Microseconds())/1000/float64(nodes*b.N), "cpu-ms/node")
		})
	}
}

// startAll starts the nodes and returns the CPU time until each sees all others live.
func startAll(b *testing.B, count int) time.Duration {
	b.Helper()
	before := processorTime(b)
	var nodes []*testNode
	var seeds []netip.AddrPort
	for i := range count {
		n := startNode(b, fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%4), uint64(i+1), anyPort, seeds...)
		if len(seeds) < 3 {
			seeds = append(seeds, n.options.Self.DatagramAddress)
		}
		nodes = append(nodes, n)
	}
	awaitLive(b, count, nodes...)
	used := processorTime(b) - before
	for _, n := range nodes {
		n.stop()
	}
	return used
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
