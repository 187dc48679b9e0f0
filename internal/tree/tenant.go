package tree

import (
	"crypto/rand"
	"crypto/sha256"
	"strings"
)

// Tenant is a customer of the operator, known by the keys of its callers.
type Tenant struct {
	// Name is unique within the tree.
	Name string
	// RankName is the rank of the tenant's requests, which replaces that of their route; empty
	// leaves the route's.
	RankName string
	// PerSecond and Burst bound the tenant's requests over all entries together: Burst requests
	// and PerSecond more in each second. A PerSecond of zero means no limit.
	PerSecond, Burst float64
}

// KeyConflictError reports a key of two tenants. It does not contain the key.
type KeyConflictError struct {
	// Tenants are the names of the two tenants.
	Tenants [2]string
}

// Error names the tenants.
func (e *KeyConflictError) Error() string {
	return "the tenants " + strings.Join(e.Tenants[:], " and ") + " have a key in common"
}

// keyHash is the hash of a tenant's key.
type keyHash [sha256.Size]byte

// hashSecret keys the hashes of this process, so that the time of a lookup says nothing about
// the keys. It fills a block of the hash function.
var hashSecret = func() (secret [sha256.BlockSize]byte) {
	_, _ = rand.Read(secret[:]) // never fails
	return secret
}()

// usualKeyBytes is the length of a key up to which its hash is computed without an allocation.
const usualKeyBytes = 128

// hashKey returns the keyed hash of a tenant's key. The hashes never leave the process.
func hashKey(key string) keyHash {
	var buffer [sha256.BlockSize + usualKeyBytes]byte
	input := append(buffer[:0], hashSecret[:]...)
	return sha256.Sum256(append(input, key...))
}

// AddTenant adds a tenant with its keys, and requires keys from then on. It returns a
// *KeyConflictError if one of the keys is another tenant's. It must not be called once the tree is in use.
func (t *Tree) AddTenant(tenant *Tenant, keys ...string) error {
	for _, key := range keys {
		if err := t.AddKey(tenant, key); err != nil {
			return err
		}
	}
	t.KeysRequired = true
	t.Tenants = append(t.Tenants, tenant)
	return nil
}

// AddKey makes the key one of the tenant's. It returns a *KeyConflictError if the key is another
// tenant's. It must not be called once the tree is in use.
func (t *Tree) AddKey(tenant *Tenant, key string) error {
	if t.tenantsByKey == nil {
		t.tenantsByKey = map[keyHash]*Tenant{}
	}
	hash := hashKey(key)
	if other := t.tenantsByKey[hash]; other != nil && other != tenant {
		return &KeyConflictError{Tenants: [2]string{other.Name, tenant.Name}}
	}
	t.tenantsByKey[hash] = tenant
	return nil
}

// TenantOf returns the tenant of a key.
func (t *Tree) TenantOf(key string) (*Tenant, bool) {
	tenant, ok := t.tenantsByKey[hashKey(key)]
	return tenant, ok
}

// WithTenant returns the match for a request of the tenant, with the rank of the tenant if it
// has one.
func (m Match) WithTenant(tenant *Tenant) Match {
	m.Tenant = tenant
	if tenant.RankName == "" {
		return m
	}
	if rank, ok := m.Service.Rank(tenant.RankName); ok {
		m.Rank = rank
	}
	return m
}
