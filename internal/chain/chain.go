// Package chain composes request handlers from filters (middleware).
package chain

import "context"

// Handler handles a request of type R. When it returns an error, it has not written that error
// to the caller.
type Handler[R any] interface {
	Handle(ctx context.Context, r R) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc[R any] func(ctx context.Context, r R) error

// Handle calls f.
func (f HandlerFunc[R]) Handle(ctx context.Context, r R) error { return f(ctx, r) }

// Filter returns a handler that wraps the next handler of a chain.
type Filter[R any] func(next Handler[R]) Handler[R]

// Link wraps the handler in the filters. The first filter is the outermost one.
func Link[R any](handler Handler[R], filters ...Filter[R]) Handler[R] {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
