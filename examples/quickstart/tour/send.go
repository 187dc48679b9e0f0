package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"chestnutrouter.example/chestnutrouter/caller"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// uploadBytes is the size of the uploaded sample photo.
const uploadBytes = 8 << 20

// sampleRequest is one request of the quick start, sent from a zone.
type sampleRequest struct {
	label, zone, method, host, path string
	body                            []byte
	atMostOnce                      bool
}

func sampleRequests() []sampleRequest {
	photo := bytes.Repeat([]byte("photo..."), uploadBytes/len("photo..."))
	return []sampleRequest{
		{label: "lookup", zone: "zone-a", method: "GET", host: "shop.glazenpot.example", path: "/kits"},
		{label: "order", zone: "zone-b", method: "POST", host: "shop.glazenpot.example", path: "/orders", body: []byte(`{"kit":7}`), atMostOnce: true},
		{label: "upload", zone: "zone-c", method: "PUT", host: "intake.glazenpot.example", path: "/scans/7", body: photo},
		{label: "lookup", zone: "zone-c", method: "GET", host: "booking.tabloblan.example", path: "/sheets/3"},
		{label: "booking", zone: "zone-a", method: "POST", host: "booking.tabloblan.example", path: "/bookings", body: []byte(`{"visit":3}`), atMostOnce: true},
		{label: "upload", zone: "zone-b", method: "PUT", host: "archive.tabloblan.example", path: "/photos/3", body: photo},
	}
}

// send sends each sample request through an entry that its zone prefers and prints
// the outcomes.
func send(ctx context.Context, dir string) error {
	p, err := readPlan(dir)
	if err != nil {
		return err
	}
	var seeds []string
	for _, vm := range p.entries() {
		seeds = append(seeds, vm.Address)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "RANK\tHOST\tOUTCOME\tSTATUS\tENTRY\tSERVER\tBYTES")
	for _, s := range sampleRequests() {
		if err := s.send(ctx, seeds, table); err != nil {
			return fmt.Errorf("%s %s: %w", s.label, s.host, err)
		}
	}
	return nil
}

func (s *sampleRequest) send(ctx context.Context, seeds []string, out io.Writer) error {
	client := caller.New(caller.Options{Seeds: seeds, Zone: s.zone, Caller: "quickstart"})
	defer client.Close()
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+s.host+s.path, bytes.NewReader(s.body))
	if err != nil {
		return err
	}
	do := client.Do
	if s.atMostOnce {
		do = client.DoOnce
	}
	resp, err := do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%s\t%s\t%d\n", s.label, s.host,
		resp.Header.Get(wire.HeaderOutcome), resp.StatusCode,
		resp.Header.Get(wire.HeaderEntry), resp.Header.Get(wire.HeaderServer), n)
	return err
}
