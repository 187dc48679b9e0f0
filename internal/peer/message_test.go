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
