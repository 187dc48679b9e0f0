package buffer

import (
	"errors"
	"io"
	"net"

	"chestnutrouter.example/chestnutrouter/internal/account"
)

// ErrNoMemory means that the budget has no memory for the body now.
var ErrNoMemory = errors.New("no memory for the request body")

// ErrReleased means that the request of a body has ended.
var ErrReleased = errors.New("the request has ended and its body was released")

// Sizes in bytes of the blocks that a body is read into. Each block is as large as those before it
// together, within these bounds.
const (
	minBlockBytes = 4 << 10
	maxBlockBytes = 256 << 10
)

// Body is a complete request body. It keeps its memory until Release.
type Body struct {
	budget *Budget
	holder *account.Conn // nil if the connection is not counted
	upload bool
	blocks net.Buffers
	size   int64
	// The fields below are guarded by the budget's lock.
	held int64 // bytes taken from the budget
	// remaining is how many of the announced bytes have no memory yet.
	remaining int64
	evicted   bool
	released  bool
}

// Read reads a body to its end. length is its announced length in bytes, negative if that is not
// known. It returns ErrNoMemory, before it reads anything if possible, if the budget does not allow
// it, or the error of r.
func (b *Budget) Read(r io.Reader, length int64, upload bool) (*Body, error) {
	return b.ReadFrom(nil, r, length, upload)
}

// ReadFrom is Read for a body that comes on a connection, which counts the memory of the body and may be
// shed while it is read. The error is ErrNoMemory then.
func (b *Budget) ReadFrom(conn *account.Conn, r io.Reader, length int64, upload bool) (*Body, error) {
	body := &Body{budget: b, holder: conn, upload: upload, remaining: max(0, length)}
	ofSameKind := func(other account.Body) bool { return other.Upload() == upload }
	if !b.makeRoom(ofSameKind, func() bool { return b.admit(max(0, length), upload) }) {
		return nil, ErrNoMemory
	}
	conn.BeginBody(body)
	err := body.readFrom(r, length)
	conn.EndBody()
	if err != nil {
		if body.isEvicted() || errors.Is(err, account.ErrShed) {
			err = ErrNoMemory
		}
		body.Release()
		return nil, err
	}
	return body, nil
}

func (b *Body) readFrom(r io.Reader, length int64) error {
	for length < 0 || b.size < length {
		block, err := b.newBlock(length)
		if err != nil {
			return err
		}
		n, err := fill(block, r)
		b.blocks = append(b.blocks, block[:n])
		b.size += int64(n)
		switch {
		case n == len(block):
		case !errors.Is(err, io.EOF):
			return err
		case length < 0:
			return nil
		default:
			return io.ErrUnexpectedEOF
		}
	}
	return nil
}

// fill reads until the block is full or r returns an error, also io.EOF. Unlike io.ReadFull it
// keeps the end of r apart from a body that r reports as broken off.
func fill(block []byte, r io.Reader) (int, error) {
	n := 0
	for n < len(block) {
		read, err := r.Read(block[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// newBlock returns memory for the next bytes of the body.
func (b *Body) newBlock(length int64) ([]byte, error) {
	n := min(max(b.size, minBlockBytes), maxBlockBytes)
	if length >= 0 {
		n = min(n, length-b.size)
	}
	if !b.holder.Hold(n) {
		return nil, ErrNoMemory
	}
	anyBody := func(account.Body) bool { return true }
	if !b.budget.makeRoom(anyBody, func() bool { return b.budget.grow(b, n) }) {
		b.holder.Release(n)
		return nil, ErrNoMemory
	}
	return make([]byte, n), nil
}

// Size implements account.Body.
func (b *Body) Size() int64 {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.held + int64(remainingShare*float64(b.remaining))
}

// Upload implements account.Body.
func (b *Body) Upload() bool { return b.upload }

// Evict implements account.Body.
func (b *Body) Evict() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if !b.evicted {
		b.evicted = true
		b.budget.evicted++
	}
}

func (b *Body) isEvicted() bool {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	return b.evicted
}

// Len returns the size of the body in bytes.
func (b *Body) Len() int64 { return b.size }

// Reader returns a reader of the whole body, or ErrReleased: an attempt that was abandoned may end
// after its request. Closing the reader has no effect.
func (b *Body) Reader() (io.ReadCloser, error) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	if b.released {
		return nil, ErrReleased
	}
	rest := append(net.Buffers(nil), b.blocks...)
	return io.NopCloser(&rest), nil
}

// Bytes returns the body in one piece. It must not be called at the same time as Reader.
func (b *Body) Bytes() []byte {
	if len(b.blocks) != 1 {
		all := make([]byte, 0, b.size)
		for _, block := range b.blocks {
			all = append(all, block...)
		}
		b.blocks = net.Buffers{all}
	}
	return b.blocks[0]
}

// Release returns the memory to the budget. It must be called once, when the request has ended.
func (b *Body) Release() {
	b.budget.mu.Lock()
	held := b.held
	b.blocks, b.released = nil, true
	b.budget.release(b)
	b.budget.mu.Unlock()
	b.holder.Release(held)
}
