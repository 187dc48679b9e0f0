package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// rawPath sends paths with a byte that some callers send as it is and others as an escape, beside
// escapes that must not be resolved.
func rawPath(recordFile string, trouble bool) (int, error) {
	record := newRecord(func(q request, x run) string {
		if x.target != q.target {
			return fmt.Sprintf("sent with %s, and ran with %s", q.target, x.target)
		}
		if !strings.HasPrefix(q.target, "/look/") {
			return "no configuration has a route for " + q.target
		}
		if x.server.service != serviceShop {
			return q.target + " is routed to " + serviceShop + ", and ran at " + x.server.service
		}
		return ""
	})
	w, err := newWorld(record, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.putConfig(1, []map[string]any{
		route(shopHost, "/look/", "idempotent", serviceShop), route(shopHost, "/look/scans/", "idempotent", serviceScans),
	}, []map[string]any{service(serviceShop), service(serviceScans)})
	for i, name := range []string{serviceShop, serviceShop, serviceScans} {
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
	n := 0
	for range 20 {
		for _, target := range []string{
			"/look/kits?colour=red|blue", "/look/jars%2Flids/7", "/look/red|blue", "/look/jars%2Flids/red|blue", "/look%2Fkits/red|blue", "/look/scans%2F7/red|blue",
		} {
			path, query, _ := strings.Cut(target, "?")
			if !trouble {
				path = strings.ReplaceAll(path, "|", "%7C")
			}
			if query != "" {
				path += "?" + query
			}
			n++
			q := request{id: fmt.Sprintf("%06d", n), front: fronts[n%len(fronts)], method: http.MethodGet, host: shopHost, target: path}
			record.send(q)
			status, err := get(q)
			record.answered(q, status, err)
			time.Sleep(10 * time.Millisecond)
		}
	}
	return record.finish(recordFile), nil
}

// get sends a request byte by byte as it is, on a connection of its own.
func get(q request) (int, error) {
	conn, err := net.DialTimeout("tcp", q.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	head := q.method + " " + q.target + " HTTP/1.1\r\nHost: " + q.host + "\r\nX-Request-Id: " + q.id + "\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close() // the status is all that is recorded
	return response.StatusCode, nil
}
