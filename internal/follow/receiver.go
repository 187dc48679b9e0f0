package follow

import (
	"encoding/json"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// Receiver serves the net/rpc calls of other entries; register it with a
// peer.Server under peer.ReceiverFollow.
type Receiver struct {
	f *Follower
}

// Receiver returns the receiver of this follower.
func (f *Follower) Receiver() *Receiver { return &Receiver{f: f} }

// Since returns the records after an offset, or the whole state if they are no
// longer kept.
func (r *Receiver) Since(args *peer.SinceArgs, reply *peer.SinceReply) error {
	r.f.applyMu.Lock()
	state := r.f.state.Load()
	records, complete := r.f.recent.after(args.Offset)
	r.f.applyMu.Unlock()
	reply.Offset = state.Offset()
	if state.Offset() <= args.Offset {
		return nil
	}
	reply.Hash = state.Hash()
	if complete {
		for _, record := range records {
			reply.Records = append(reply.Records, peer.ConfigRecord{Offset: record.Offset, Data: record.Data})
		}
		return nil
	}
	data, err := json.Marshal(state)
	reply.State = data
	return err
}
