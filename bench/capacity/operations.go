package main

import (
	"encoding/binary"
	"fmt"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/operation"
)

// answerBytes is the size of the kept answers in the probes.
const answerBytes = 300

func operationProbes() []probe {
	sizes := []int{10_000, 20_000, 40_000}
	return []probe{
		{
			name: "heap of an operation record without an answer", unit: "B/operation", sizes: sizes,
			value: func(size int) (float64, error) { return operationHeap(size, 0) },
		},
		{
			name: "heap of an operation record with an answer of 300 B", unit: "B/operation", sizes: sizes,
			value: func(size int) (float64, error) { return operationHeap(size, answerBytes) },
		},
	}
}

func operationHeap(size, bodyBytes int) (float64, error) {
	var failed error
	bytes := heapOf(func() any {
		t := operation.New(operation.Options{})
		for i := range size {
			if err := runOperation(t, i, bodyBytes); err != nil {
				failed = err
				return t
			}
		}
		return t
	})
	return bytes, failed
}

// runOperation takes one operation from its beginning to its answer.
func runOperation(t *operation.Table, number, bodyBytes int) error {
	id := operation.ID{Incarnation: t.Incarnation(), Epoch: t.Epoch()}
	binary.LittleEndian.PutUint64(id.Nonce[:], uint64(number)+1)
	call, refusal := t.Begin(id, "caller", operation.Fingerprint{byte(number)})
	if refusal != nil {
		return refusal
	}
	if !call.MustRun() {
		return fmt.Errorf("operation %d is not new", number)
	}
	call.Ran(operation.Response{
		Status:   http.StatusOK,
		Header:   http.Header{"Content-Type": {"application/json"}},
		Body:     make([]byte, bodyBytes),
		BodyKept: bodyBytes > 0,
		Server:   "shop-017",
	})
	return nil
}
