package peer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLivenessCountersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list LivenessList
		for range rapid.IntRange(0, 20).Draw(t, "signs") {
			list = append(list, Liveness{
				ID:      rapid.Uint64Max(1<<(8*shortIDBytes)-1).Draw(t, "id"),
				Counter: rapid.Uint64().Draw(t, "counter"),
				Age:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * livenessAgeUnit,
			})
		}
		data, _ := list.MarshalBinary()
		var got LivenessList
		if err := got.UnmarshalBinary(data); err != nil || !slices.Equal(got, list) {
			t.Fatalf("got %v, want %v, error %v", got, list, err)
		}
	})
}

func FuzzLivenessCounters(f *testing.F) {
	data, _ := LivenessList{{ID: 1, Counter: 300, Age: time.Second}}.MarshalBinary()
	f.Add(data)
	f.Add(data[:9])
	f.Fuzz(func(t *testing.T, data []byte) {
		var list LivenessList
		if list.UnmarshalBinary(data) == nil && len(list) > maxLivenessItems {
			t.Fatalf("decoded %d liveness counters, more than maxLivenessItems", len(list))
		}
	})
}
