package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// daemonFleet runs complete daemons instead of nodes. Their log lines show when a
// record took effect.
type daemonFleet struct {
	fleet   *proctest.Fleet
	dir     string
	entries []*proctest.Entry
}

func startDaemons(n int) (*daemonFleet, error) {
	dir, err := os.MkdirTemp("", "chestnutrouter")
	if err != nil {
		return nil, err
	}
	binaries, err := proctest.Build(context.Background(), dir)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	d := &daemonFleet{fleet: proctest.NewFleet(dir, binaries), dir: dir}
	for i := range n {
		e, err := d.fleet.StartEntry(fmt.Sprintf("entry-%03d", i), fmt.Sprint("zone-", i%zoneCount))
		if err != nil {
			d.stop()
			return nil, err
		}
		d.entries = append(d.entries, e)
	}
	if err := d.awaitCluster(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *daemonFleet) url() string { return d.fleet.PlatformURL }

func (d *daemonFleet) count() int { return len(d.entries) }

func (d *daemonFleet) stop() {
	d.fleet.Close()
	os.RemoveAll(d.dir)
}

// awaitCluster returns when every daemon sees all of them.
func (d *daemonFleet) awaitCluster() error {
	ctx := context.Background()
	for _, e := range d.entries {
		err := proctest.Until(ctx, startTimeout, func() bool {
			report, err := e.Status()
			return err == nil && len(report.Entries) == len(d.entries)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// partitionHalf disconnects every second daemon from the platform.
func (d *daemonFleet) partitionHalf() {
	f := standin.Faults{}
	for i, e := range d.entries {
		if i%2 == 1 {
			f.Disconnected = append(f.Disconnected, e.VM.Name)
		}
	}
	d.fleet.Platform.SetFaults(f)
}

// awaitApplied returns the time at which the last daemon applied the offset.
func (d *daemonFleet) awaitApplied(offset int64) (time.Time, error) {
	var last time.Time
	for _, e := range d.entries {
		var at time.Time
		err := proctest.Until(context.Background(), appliedTimeout, func() bool {
			at = appliedAt(e.LogFile(), offset)
			return !at.IsZero()
		})
		if err != nil {
			return last, fmt.Errorf("%s: offset %d: %w", e.VM.Name, offset, err)
		}
		if at.After(last) {
			last = at
		}
	}
	return last, nil
}

// appliedAt returns the time of the first log line that reports the offset or a later
// one as applied, the zero time if there is none yet.
func appliedAt(logFile string, offset int64) time.Time {
	file, err := os.Open(logFile)
	if err != nil {
		return time.Time{}
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Time    time.Time `json:"time"`
			Applied *int64    `json:"applied"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Applied != nil && *line.Applied >= offset {
			return line.Time
		}
	}
	return time.Time{}
}
