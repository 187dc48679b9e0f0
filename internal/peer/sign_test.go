package peer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSignsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var signs LivenessList
		for range rapid.IntRange(0, 20).Draw(t, "signs") {
			signs = append(signs, Liveness{
				ID:      rapid.Uint64Max(1<<(8*signIDBytes)-1).Draw(t, "id"),
				Counter: rapid.Uint64().Draw(t, "counter"),
				Age:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * signAgeUnit,
			})
		}
		data, _ := signs.MarshalBinary()
		var got LivenessList
		if err := got.UnmarshalBinary(data); err != nil || !slices.Equal(got, signs) {
			t.Fatalf("got %v, want %v, error %v", got, signs, err)
		}
	})
}

func FuzzSigns(f *testing.F) {
	data, _ := LivenessList{{ID: 1, Counter: 300, Age: time.Second}}.MarshalBinary()
	f.Add(data)
	f.Add(data[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		var signs LivenessList
		if signs.UnmarshalBinary(data) == nil && len(signs) > maxSigns {
			t.Fatalf("%d signs", len(signs))
		}
	})
}
