package storesync

import "fmt"

// PanicError reports a record whose decoding panicked.
type PanicError struct {
	// Value is the value of the panic.
	Value any
}

// Error returns the value.
func (e *PanicError) Error() string { return fmt.Sprintf("decoding the record panicked: %v", e.Value) }

// contain returns a decoder that turns a panic into an error. All members read the same records,
// again after each restart, so one that ends a member would end all of them.
func contain[T any](decode func(value []byte) (T, error)) func([]byte) (T, error) {
	return func(value []byte) (decoded T, err error) {
		defer func() {
			if p := recover(); p != nil {
				err = &PanicError{Value: p}
			}
		}()
		return decode(value)
	}
}
