package membership

import "math/rand/v2"

// rotation returns peer addresses in a random order in which each comes up once
// before any comes up again. This bounds the time until two given entries
// exchange a heartbeat.
type rotation struct {
	remaining []string
}

// next returns the next addresses of the current candidates, at most n.
func (r *rotation) next(candidates []string, n int) []string {
	current := make(map[string]bool, len(candidates))
	for _, a := range candidates {
		current[a] = true
	}
	var out []string
	for range min(n, len(candidates)) {
		out = append(out, r.takeNext(candidates, current))
	}
	return out
}

func (r *rotation) takeNext(candidates []string, current map[string]bool) string {
	for {
		if len(r.remaining) == 0 {
			r.remaining = append(r.remaining, candidates...)
			rand.Shuffle(len(r.remaining), func(i, j int) { r.remaining[i], r.remaining[j] = r.remaining[j], r.remaining[i] })
		}
		address := r.remaining[len(r.remaining)-1]
		r.remaining = r.remaining[:len(r.remaining)-1]
		if current[address] {
			return address
		}
	}
}
