package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	shopHost     = "shop.example"
	serviceShop  = "shopfront"
	serviceScans = "engrave-intake"
)

// foreignRecord has another writer write entries of an instance that name another service and lack a
// field, or have one of another type. Such an entry names no instance to use.
func foreignRecord(recordFile string, trouble bool) (int, error) {
	wanted := map[string]string{"/orders/": serviceShop, "/scans/": serviceScans}
	record := newRecord(func(q request, x run) string {
		prefix := "/" + strings.SplitN(q.target, "/", 3)[1] + "/"
		if wanted[prefix] != x.server.service {
			return fmt.Sprintf("%s is routed to %s alone in every configuration, and ran at %s of %s", prefix, wanted[prefix], x.server.id, x.server.service)
		}
		return ""
	})
	w, err := newWorld(record, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.putConfig(1, []map[string]any{
		route(shopHost, "/orders/", "non_idempotent", serviceShop),
		route(shopHost, "/scans/", "upload", serviceScans),
	}, []map[string]any{service(serviceShop), service(serviceScans)})
	for i, name := range []string{serviceShop, serviceShop, serviceScans, serviceScans} {
		if err := w.startServer(fmt.Sprintf("i-%d", i+1), name, fmt.Sprintf("zone-%d", i%2)); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.startEntries(); err != nil {
		return exitNotRun, err
	}
	if err := w.awaitReady(); err != nil {
		return exitNotRun, err
	}
	fronts, err := w.fronts(shopHost)
	if err != nil {
		return exitNotRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 16*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { callOften(ctx, record, i, fronts[i%len(fronts)]) })
	}
	if trouble {
		time.Sleep(4 * time.Second)
		scans := w.servers[3]
		missing := scans.entry()
		missing["info"] = map[string]any{"service": serviceShop, "zone": scans.zone, "slots": slots}
		record.event("another writer writes servers/%s with the service %s and without version", scans.id, serviceShop)
		w.store.PutJSON(topicServers, scans.id, missing)
		time.Sleep(4 * time.Second)
		odd := scans.entry()
		odd["info"] = map[string]any{"service": serviceShop, "zone": scans.zone, "version": 7, "slots": slots}
		record.event("another writer writes servers/%s with the service %s and a number as version", scans.id, serviceShop)
		w.store.PutJSON(topicServers, scans.id, odd)
	}
	callers.Wait()
	return record.finish(recordFile), nil
}

// callOften sends orders and scans in turn on a kept connection.
func callOften(ctx context.Context, record *record, caller int, front string) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for n := 0; ctx.Err() == nil; n++ {
		target := fmt.Sprintf("/orders/%d", n)
		if n%4 == 3 {
			target = fmt.Sprintf("/scans/%d", n)
		}
		q := request{id: fmt.Sprintf("%02d-%06d", caller, n), front: front, method: http.MethodPost, host: shopHost, target: target}
		record.send(q)
		status, err := post(&client, q, nil)
		record.answered(q, status, err)
		time.Sleep(30 * time.Millisecond)
	}
}
