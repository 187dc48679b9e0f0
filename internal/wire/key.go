package wire

import "context"

// keyOfContext is the type of the context key under which a tenant's key is kept.
type keyOfContext struct{}

// WithTenantKey returns a context for a request that carries a tenant's key. The key travels in
// the context, so that no header that is forwarded or logged contains it.
func WithTenantKey(ctx context.Context, key string) context.Context {
	return context.WithValue(ctx, keyOfContext{}, key)
}

// TenantKey returns the tenant's key that the request carries, or false if it carries none.
func TenantKey(ctx context.Context) (string, bool) {
	key, ok := ctx.Value(keyOfContext{}).(string)
	return key, ok
}
