package http1

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
)

// Exchange describes, for the log, how the last request and its answer were transferred that a Transport has sent with the exchange in their
// context. The zero value describes none. Its methods may be called by several goroutines.
type Exchange struct{ last atomic.Pointer[transfer] }

// transfer is a request and its answer on their connection.
type transfer struct {
	conn     atomic.Pointer[Conn] // nil before it is there, and with TLS
	uploaded atomic.Bool          // the whole request was written
	framing  atomic.Value         // string, see Framing; not set without an answer
}

type exchangeKey struct{}

// WithExchange returns a context for requests that x is to describe.
func WithExchange(ctx context.Context, x *Exchange) context.Context {
	return context.WithValue(ctx, exchangeKey{}, x)
}

// newTransfer returns a transfer that the exchange of the context, if any, describes from now on.
func newTransfer(ctx context.Context) *transfer {
	t := &transfer{}
	if x, ok := ctx.Value(exchangeKey{}).(*Exchange); ok {
		x.last.Store(t)
	}
	return t
}

// answered records the answer.
func (t *transfer) answered(response *http.Response) { t.framing.Store(Framing(response)) }

// Framing returns how the body of the answer ends, as Framing does, or "" without an answer.
func (x *Exchange) Framing() string {
	if t := x.last.Load(); t != nil {
		framing, _ := t.framing.Load().(string)
		return framing
	}
	return ""
}

// LogValue implements slog.LogValuer: whether the whole request was written, how the data of the connection has ended and which call has
// met that, and the framing. What is not known is left out.
func (x *Exchange) LogValue() slog.Value {
	t := x.last.Load()
	if t == nil {
		return slog.GroupValue()
	}
	attrs := []slog.Attr{slog.Bool("uploaded", t.uploaded.Load())}
	if conn := t.conn.Load(); conn != nil {
		end, call := conn.End()
		attrs = append(attrs, slog.String("end", end.String()))
		if call != NoCall {
			attrs = append(attrs, slog.String("end_call", string(call)))
		}
	}
	if framing := x.Framing(); framing != "" {
		attrs = append(attrs, slog.String("framing", framing))
	}
	return slog.GroupValue(attrs...)
}
