package main

import (
	"encoding/binary"
	"fmt"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/operation"
)

// responseBytes is the size of the stored responses in the measurements.
const responseBytes = 300

func operationMeasurements() []measurement {
	sizes := []int{10_000, 20_000, 40_000}
	return []measurement{
		{
			name: "heap of an operation record without an answer", unit: "B/operation", sizes: sizes,
			value: func(size int) (float64, error) { return operationHeap(size, 0) },
		},
		{
			name: "heap of an operation record with an answer of 300 B", unit: "B/operation", sizes: sizes,
			value: func(size int) (float64, error) { return operationHeap(size, responseBytes) },
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

// runOperation runs one operation from Begin to its stored response.
func runOperation(t *operation.Table, index, bodyBytes int) error {
	id := operation.ID{Incarnation: t.Incarnation(), Epoch: t.Epoch()}
	binary.LittleEndian.PutUint64(id.Nonce[:], uint64(index)+1)
	call, refusal := t.Begin(id, "caller", operation.Fingerprint{byte(index)})
	if refusal != nil {
		return refusal
	}
	if !call.MustRun() {
		return fmt.Errorf("operation %d has a record already", index)
	}
	call.Ran(operation.Response{
		Status:     http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       make([]byte, bodyBytes),
		BodyStored: bodyBytes > 0,
		Server:     "shop-017",
	})
	return nil
}
