package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

// The lengths of messages are known before the decoder reads them, and the messages are unchanged.
func TestMessageReaderFindsTheLengths(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	random := rand.New(rand.NewPCG(1, 1))
	var want [][]byte
	for range 100 {
		message := make([]byte, random.IntN(1<<random.IntN(20)))
		want = append(want, message)
		if err := encoder.Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	total := 0
	begin := func(length uint64) error { total += int(length); return nil }
	size := stream.Len()
	decoder := gob.NewDecoder(&messageReader{r: bufio.NewReader(&stream), begin: begin})
	for i, message := range want {
		var got []byte
		if err := decoder.Decode(&got); err != nil || !slices.Equal(got, message) {
			t.Fatalf("message %d of %d bytes: got %d bytes, error %v", i, len(message), len(got), err)
		}
	}
	if total > size || total < size-5*len(want) {
		t.Errorf("lengths of %d bytes in a stream of %d", total, size)
	}
}

// A message that announces too much is refused before memory is allocated for it.
func TestMessageReaderRefusesLengths(t *testing.T) {
	errRefused := errors.New("refused")
	for _, stream := range []string{"\xfc\x3f\xff\xff\xff", "\xf7\x01\x00\x00\x00\x00\x00\x00\x00\x00"} {
		r := &messageReader{r: bufio.NewReader(bytes.NewBufferString(stream)), begin: func(length uint64) error {
			if length > MaxMessageBytes {
				return errRefused
			}
			return nil
		}}
		var got []byte
		if err := gob.NewDecoder(r).Decode(&got); !errors.Is(err, errRefused) && !errors.Is(err, errMessageTooLarge) {
			t.Errorf("% x: got error %v, want a refusal", stream, err)
		}
	}
}

// Guards against a peer in trouble whose replies take the memory of the VM that called it.
func TestReplyLargerThanTheLimitEndsTheConnection(t *testing.T) {
	const limit = 4 << 10
	_, _, address := startServer(t)
	pool := NewPool(Options{MaxMessageBytes: limit})
	defer pool.Close()
	size := limit / 2
	var reply []byte
	if err := pool.Call(t.Context(), address, "Echo.Fill", &size, &reply); err != nil || len(reply) != size {
		t.Errorf("a reply of %d B: got %d B, error %v", size, len(reply), err)
	}
	size = 1 << 20
	before := pool.Traffic().ReceivedBytes()
	var unreachable *UnreachableError
	if err := pool.Call(t.Context(), address, "Echo.Fill", &size, &reply); !errors.As(err, &unreachable) {
		t.Errorf("a reply of %d B: got error %v, want *UnreachableError", size, err)
	}
	if got := pool.Traffic().ReceivedBytes() - before; got > 2*limit+readAheadBytes {
		t.Errorf("received %d B, want at most %d", got, 2*limit+readAheadBytes)
	}
	size = 1
	if err := pool.Call(t.Context(), address, "Echo.Fill", &size, &reply); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
