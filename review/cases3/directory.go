package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// directoryBound is stability and 3 s, after which the endpoint list may not name a machine that
	// is gone.
	directoryBound = 6 * time.Second
	// directoryAnswers is the number of answers that may.
	directoryAnswers = 3
)

// removedMachines takes three of five machines away for good and asks the others for the endpoint list.
func removedMachines(recordFile string, trouble bool) (int, error) {
	record := newRecord(func(request, run) string { return "" })
	w, err := newWorld(record, 5)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.putConfig(1, []map[string]any{route(shopHost, "/look/", "idempotent", serviceShop)}, []map[string]any{service(serviceShop)})
	for i := range 2 {
		if err := w.startServer(fmt.Sprintf("i-%d", i+1), serviceShop, fmt.Sprintf("zone-%d", i)); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.startEntries(); err != nil {
		return exitNotRun, err
	}
	if err := w.awaitReady(); err != nil {
		return exitNotRun, err
	}
	var gone []string
	if trouble {
		for _, e := range w.entries[2:] {
			if err := e.cmd.Process.Signal(syscall.SIGKILL); err != nil {
				return exitNotRun, err
			}
			<-e.ended
			gone = append(gone, w.at(e.ip, portFront))
			record.event("%s is removed for good", e.name)
		}
	}
	removed := time.Now()
	late, answers := 0, 0
	for time.Since(removed) < 24*time.Second {
		time.Sleep(250 * time.Millisecond)
		for _, e := range w.entries[:2] {
			addresses, err := w.frontsFrom(e, shopHost)
			if err != nil {
				return exitNotRun, err
			}
			answers++
			named := 0
			for _, a := range addresses {
				if slices.Contains(gone, a) {
					named++
				}
			}
			record.event("%s names %v, %d of them removed %.1f s ago", e.name, addresses, named, time.Since(removed).Seconds())
			if named > 0 && named < len(addresses) && time.Since(removed) > directoryBound {
				late++
			}
		}
	}
	fmt.Printf("%d of %d answers name a removed machine beside a running one later than %v, allowed are %d\n", late, answers, directoryBound, directoryAnswers)
	if late > directoryAnswers {
		record.fail("the endpoint list")
	}
	record.runs = answers
	return record.finish(recordFile), nil
}
