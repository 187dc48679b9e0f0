package peer

import (
	"bufio"
	"io"
)

// messageReader reads the messages of a gob stream and calls begin with the length of each in bytes,
// before the decoder allocates it. A message is preceded by its length: one byte up to 0x7f, or the negated
// number of the bytes that follow with the length, the most significant first.
type messageReader struct {
	r     *bufio.Reader
	begin func(length uint64) error

	remaining   uint64 // bytes of the message
	lengthBytes int    // bytes of the length that are still to come
	length      uint64 // its bytes so far
}

// maxLengthBytes is the largest number of bytes of a length.
const maxLengthBytes = 8

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if m.remaining > 0 {
		n, err := m.r.Read(p[:min(uint64(len(p)), m.remaining)])
		m.remaining -= uint64(n)
		return n, err
	}
	b, err := m.r.ReadByte()
	if err != nil {
		return 0, err
	}
	if err := m.addLengthByte(b); err != nil {
		// With a byte the error would be passed over, and the message allocated.
		return 0, err
	}
	p[0] = b
	return 1, nil
}

// ReadByte implements io.ByteReader, without which the decoder reads ahead.
func (m *messageReader) ReadByte() (byte, error) {
	var p [1]byte
	_, err := io.ReadFull(m, p[:])
	return p[0], err
}

func (m *messageReader) addLengthByte(b byte) error {
	switch {
	case m.lengthBytes > 0:
		m.length = m.length<<8 | uint64(b)
		m.lengthBytes--
	case b <= 0x7f:
		m.length = uint64(b)
	default:
		m.length, m.lengthBytes = 0, -int(int8(b))
		if m.lengthBytes > maxLengthBytes {
			return errMessageTooLarge
		}
	}
	if m.lengthBytes > 0 {
		return nil
	}
	m.remaining = m.length
	return m.begin(m.length)
}
