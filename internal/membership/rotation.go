package membership

import "math/rand/v2"

// rotation hands out peer addresses in a random order in which each comes up
// once before any comes up again. So the time until two entries meet is bounded.
type rotation struct {
	left []string
}

// next returns up to n addresses of the current candidates.
func (r *rotation) next(candidates []string, n int) []string {
	current := make(map[string]bool, len(candidates))
	for _, a := range candidates {
		current[a] = true
	}
	var out []string
	for range min(n, len(candidates)) {
		out = append(out, r.one(candidates, current))
	}
	return out
}

func (r *rotation) one(candidates []string, current map[string]bool) string {
	for {
		if len(r.left) == 0 {
			r.left = append(r.left, candidates...)
			rand.Shuffle(len(r.left), func(i, j int) { r.left[i], r.left[j] = r.left[j], r.left[i] })
		}
		address := r.left[len(r.left)-1]
		r.left = r.left[:len(r.left)-1]
		if current[address] {
			return address
		}
	}
}
