package cluster

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
)

// A query is a small question to one member and its answer, a datagram each. Both may be lost,
// and an answer that arrives after the query has ended is discarded. Unlike a heartbeat, an
// answer proves that it was sent after the question.

// maxQueryBytes bounds the payload of a question and of an answer, so that each fits into one
// packet on a link with the usual MTU.
const maxQueryBytes = 1200

// queryHeaderBytes is the length of the kind, the topic and the id in front of the payload.
const queryHeaderBytes = 1 + 1 + 8

// Topics of queries.
const (
	// TopicFreshness asks how recently the newest configuration was known to be the active one.
	TopicFreshness byte = 1
	// TopicAllowance asks the owner of a tenant's allowance for units of it.
	TopicAllowance byte = 2
)

// QueryHandler answers a question. A nil answer sends none. It is called by the goroutine that
// receives datagrams, so it must not block, and it must not keep the question.
type QueryHandler func(question []byte) (answer []byte)

// queries are the handlers and the open questions of a node.
type queries struct {
	mu       sync.Mutex // guards the fields below
	handlers map[byte]QueryHandler
	open     map[uint64]*openQuery
}

// openQuery is a question without an answer yet.
type openQuery struct {
	to     netip.AddrPort
	topic  byte
	answer chan []byte
}

// HandleQueries sets the handler of a topic. It must be called before Receive.
func (n *Node) HandleQueries(topic byte, handler QueryHandler) {
	n.queries.mu.Lock()
	defer n.queries.mu.Unlock()
	if n.queries.handlers == nil {
		n.queries.handlers = map[byte]QueryHandler{}
	}
	n.queries.handlers[topic] = handler
}

// Query sends a question to a member and waits for the answer until ctx ends. Its error is that
// of ctx, or ErrQueryTooLarge. A question to this member itself is answered without a datagram.
func (n *Node) Query(ctx context.Context, to LiveMember, topic byte, question []byte) ([]byte, error) {
	if len(question) > maxQueryBytes {
		return nil, ErrQueryTooLarge
	}
	if to.DatagramAddress == n.options.Self.DatagramAddress {
		if answer := n.answerTo(topic, question); answer != nil {
			return answer, nil
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	id, q := n.openQuery(to.DatagramAddress, topic)
	defer n.closeQuery(id)
	n.send(to.DatagramAddress, encodeQuery(kindQuestion, topic, id, question))
	select {
	case answer := <-q.answer:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) openQuery(to netip.AddrPort, topic byte) (uint64, *openQuery) {
	q := &openQuery{to: to, topic: topic, answer: make(chan []byte, 1)}
	id := rand.Uint64() // no answer to an earlier start of this process matches
	n.queries.mu.Lock()
	defer n.queries.mu.Unlock()
	if n.queries.open == nil {
		n.queries.open = map[uint64]*openQuery{}
	}
	n.queries.open[id] = q
	return id, q
}

func (n *Node) closeQuery(id uint64) {
	n.queries.mu.Lock()
	defer n.queries.mu.Unlock()
	delete(n.queries.open, id)
}

// answerTo returns the handler's answer, nil if there is none.
func (n *Node) answerTo(topic byte, question []byte) []byte {
	n.queries.mu.Lock()
	handler := n.queries.handlers[topic]
	n.queries.mu.Unlock()
	if handler == nil {
		return nil
	}
	answer := handler(question)
	if len(answer) > maxQueryBytes {
		n.count("answers_too_large")
		return nil
	}
	return answer
}

// handleQuestion answers a question of another member.
func (n *Node) handleQuestion(from netip.AddrPort, data []byte) {
	topic, id, question, ok := decodeQuery(data)
	if !ok {
		n.count("malformed")
		return
	}
	if answer := n.answerTo(topic, question); answer != nil {
		n.send(from, encodeQuery(kindAnswer, topic, id, answer))
	}
}

// handleAnswer delivers an answer to the query that it belongs to.
func (n *Node) handleAnswer(from netip.AddrPort, data []byte) {
	topic, id, answer, ok := decodeQuery(data)
	if !ok {
		n.count("malformed")
		return
	}
	n.queries.mu.Lock()
	defer n.queries.mu.Unlock()
	q := n.queries.open[id]
	if q == nil || q.to != from || q.topic != topic {
		n.count("answers_discarded")
		return
	}
	delete(n.queries.open, id)
	q.answer <- append([]byte(nil), answer...)
}

func encodeQuery(kind, topic byte, id uint64, payload []byte) []byte {
	out := make([]byte, 0, queryHeaderBytes+len(payload))
	out = append(out, kind, topic)
	out = binary.LittleEndian.AppendUint64(out, id)
	return append(out, payload...)
}

// decodeQuery decodes what follows the kind of a question or an answer.
func decodeQuery(data []byte) (topic byte, id uint64, payload []byte, ok bool) {
	if len(data) < queryHeaderBytes-1 {
		return 0, 0, nil, false
	}
	return data[0], binary.LittleEndian.Uint64(data[1:]), data[queryHeaderBytes-1:], true
}
