package caller_test

import (
	"context"
	"errors"
	"log"
	"net/http"
	"strings"

	"chestnutrouter.example/chestnutrouter/caller"
)

// An order runs at most once. If its outcome is unknown, store the operation id
// with the order and call Repeat with it later.
func ExampleClient_DoOnce() {
	client := caller.New(caller.Options{Seeds: []string{"10.0.0.4:8080"}, Zone: "zone-a", Caller: "web-shop"})
	defer client.Close()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://shop.glazenpot.example/orders", strings.NewReader(`{"kit":7}`))
	if err != nil {
		log.Fatal(err)
	}
	resp, err := client.DoOnce(req)
	var notRun *caller.NotRunError
	var unknown *caller.OutcomeUnknownError
	switch {
	case errors.As(err, &notRun):
		log.Print("the order was not placed; it is safe to place it again")
	case errors.As(err, &unknown):
		log.Printf("store operation %q and call Repeat with it", unknown.Operation)
	case err != nil:
		log.Print(err)
	default:
		defer resp.Body.Close()
		log.Print("the shop responded with status ", resp.Status)
	}
}

// A lookup is idempotent, so the client may retry it.
func ExampleClient_Do() {
	client := caller.New(caller.Options{Seeds: []string{"10.0.0.4:8080"}, Zone: "zone-a", Caller: "web-shop"})
	defer client.Close()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://shop.glazenpot.example/kits", nil)
	if err != nil {
		log.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		log.Fatal(err)
	}
	defer resp.Body.Close()
}
