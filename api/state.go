package api

import "encoding/json"

// Item is a key of the state service with its value. Version is the revision of its last change;
// LeaseID is the lease whose end removes it, 0 for none.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"growth"`
	LeaseID uint64          `json:"tenure,omitempty"`
}

// ItemPage is a page of keys, as they were at a revision of the store.
type ItemPage struct {
	Items    []Item `json:"items"`
	More     bool   `json:"more"`
	Revision uint64 `json:"ring"`
}

// Condition requires that a key has a version; version 0 requires that the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"growth"`
}

// Change sets one key to a value or, if Remove is given, removes that key.
type Change struct {
	Set     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	LeaseID uint64          `json:"tenure,omitempty"`
	Remove  string          `json:"remove,omitempty"`
}

// Txn is an atomic set of changes under conditions.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"apply,omitempty"`
}

// TxnResponse is the response to a Txn; Failed lists the keys of the conditions that did not hold.
type TxnResponse struct {
	Revision uint64   `json:"ring"`
	Failed   []string `json:"failed,omitempty"`
}

// LeaseRequest requests a lease; the TTL is in milliseconds.
type LeaseRequest struct {
	TTLMS int `json:"ttlMs"`
}

// LeaseResponse holds the id of the granted lease.
type LeaseResponse struct {
	LeaseID uint64 `json:"tenure"`
}

// Event is one change of a key, as delivered by a watch: of the key Set or, if it was removed, of
// the key Remove.
type Event struct {
	Set     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"growth"`
	Remove  string          `json:"remove,omitempty"`
}

// WatchResponse holds all changes since a revision.
type WatchResponse struct {
	Revision uint64  `json:"ring"`
	Events   []Event `json:"events"`
}
