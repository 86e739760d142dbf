package order

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"

	"lentillink.example/lentillink/clock"
)

// NumPartitions is the number of partitions over which order ids are hashed.
const NumPartitions = 16

// HashSize is the size of a Hash in bytes. 16 bytes keep the head small. Callers
// choose the ids, so the hash must resist deliberate collisions.
const HashSize = 16

const (
	maxMillisDigits = 15 // keeps the parsed time far below overflow
	maxRandomBytes  = 64
)

// Hash identifies an order or a token in the store.
type Hash [HashSize]byte

// HashOf returns the truncated SHA-256 of s.
func HashOf(s string) Hash {
	sum := sha256.Sum256([]byte(s))
	return Hash(sum[:HashSize])
}

// Partition returns the partition of the order id with hash h.
func (h Hash) Partition() int { return int(binary.BigEndian.Uint16(h[:]) % NumPartitions) }

// ParseID returns the issue time of an order id of the form <unix ms>-<random>.
func ParseID(id string) (clock.Millis, error) {
	ms, random, ok := strings.Cut(id, "-")
	if !ok || !isMillis(ms) || !isRandom(random) {
		return 0, newError("parse id", KindBadID, nil)
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return 0, newError("parse id", KindBadID, err)
	}
	return clock.Millis(n), nil
}

func isMillis(s string) bool {
	if s == "" || len(s) > maxMillisDigits || s[0] == '0' {
		return false
	}
	return strings.Trim(s, "0123456789") == ""
}

func isRandom(s string) bool {
	if s == "" || len(s) > maxRandomBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
