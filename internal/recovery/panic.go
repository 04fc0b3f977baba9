package recovery

import (
	"fmt"
	"net/http"
	"runtime"

	"github.com/cockroachdb/errors"
)

// maxStackBytes bounds the stack of a panic in the log.
const maxStackBytes = 8 << 10

// Panic is the error of a handler that has panicked.
type Panic struct {
	Value any
	Stack string // of the goroutine, at most maxStackBytes
}

// NewPanic returns the error for the result of recover. It must be called by the deferred function, so that the stack is that of
// the panic. It panics again with http.ErrAbortHandler, which is no fault, and returns nil for nil.
func NewPanic(value any) *Panic {
	if value == nil {
		return nil
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(value)
	}
	stack := make([]byte, maxStackBytes)
	return &Panic{Value: value, Stack: string(stack[:runtime.Stack(stack, false)])}
}

// Error implements error.
func (p *Panic) Error() string { return fmt.Sprintf("panic: %v", p.Value) }
