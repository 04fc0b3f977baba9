// Package chain links filters that each do one job for a request.
package chain

import "context"

// Handler answers a request of type R. An error that it returns has not been written to the
// caller.
type Handler[R any] interface {
	Handle(ctx context.Context, r R) error
}

// Func is a function that is a Handler.
type HandlerFunc[R any] func(ctx context.Context, r R) error

// Handle calls the function.
func (f HandlerFunc[R]) Handle(ctx context.Context, r R) error { return f(ctx, r) }

// Filter wraps the next handler of a chain.
type Filter[R any] func(next Handler[R]) Handler[R]

// Link returns the last handler behind the filters, the first of them outermost.
func Link[R any](handler Handler[R], filters ...Filter[R]) Handler[R] {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
