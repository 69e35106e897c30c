package ident

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// RosterDigest names the exact set of agent incarnations that may run a job's tasks.
type RosterDigest [16]byte

// macSize is the length of an id's authentication code in bytes.
const macSize = 16

// idFormat is the first byte of every id's body, so that the layout can change later.
const idFormat = 1

// maxIDLength bounds what a caller can make us parse, in characters.
const maxIDLength = 400

// JobID is what a job id says, after its authentication code was checked.
type JobID struct {
	Key Key
	// MintedMs is when the owner minted the id, in milliseconds of Unix time by the owner's clock.
	MintedMs int64
	Region   Region
	// Owner is where the minting entry listened for its peers.
	Owner   Address
	Service Service
	Roster  RosterDigest
	// Text is the id as callers hold it.
	Text string
}

// Age is how long ago the id was minted, by the caller's clock.
func (j JobID) Age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(j.MintedMs))
}

// Signer encodes and authenticates job ids under keys from the settings.
type Signer struct {
	// keys is never empty; the first signs, all are accepted, so that a key can be changed without a gap.
	keys [][]byte
}

// ErrForged is returned for an id that none of the keys signed.
var ErrForged = errors.New("job id: authentication code does not match")

// NewSigner returns a Signer; it needs at least one key.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 || len(keys[0]) == 0 {
		return nil, errors.New("job id: no key to sign with")
	}
	return &Signer{keys: keys}, nil
}

// Sign fills in Text.
func (s *Signer) Sign(j JobID) JobID {
	body := encodeID(j)
	j.Text = base64.RawURLEncoding.EncodeToString(append(body, mac(s.keys[0], body)...))
	return j
}

// Parse checks an id's authentication code and decodes it. The error never repeats the id.
func (s *Signer) Parse(text string) (JobID, error) {
	if len(text) > maxIDLength {
		return JobID{}, errors.New("job id: too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return JobID{}, errors.New("job id: not base64url")
	}
	if len(raw) <= macSize {
		return JobID{}, errors.New("job id: too short")
	}
	body, code := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !s.signed(body, code) {
		return JobID{}, ErrForged
	}
	j, err := decodeID(body)
	j.Text = text
	return j, err
}

func (s *Signer) signed(body, code []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(mac(key, body), code) {
			return true
		}
	}
	return false
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

func encodeID(j JobID) []byte {
	b := []byte{idFormat}
	b = binary.BigEndian.AppendUint64(b, uint64(j.Key.Owner))
	b = binary.AppendUvarint(b, j.Key.Seq)
	b = binary.AppendUvarint(b, uint64(j.MintedMs))
	b = append(b, j.Roster[:]...)
	return append(b, strings.Join([]string{string(j.Region), string(j.Owner), string(j.Service)}, "\n")...)
}

func decodeID(b []byte) (JobID, error) {
	var j JobID
	bad := errors.New("job id: bad layout")
	if len(b) < 9 || b[0] != idFormat {
		return j, bad
	}
	j.Key.Owner = Incarnation(binary.BigEndian.Uint64(b[1:]))
	b = b[9:]
	seq, n := binary.Uvarint(b)
	if n <= 0 {
		return j, bad
	}
	b = b[n:]
	minted, n := binary.Uvarint(b)
	if n <= 0 || len(b) < n+len(j.Roster) {
		return j, bad
	}
	j.Key.Seq, j.MintedMs = seq, int64(minted)
	copy(j.Roster[:], b[n:])
	parts := strings.Split(string(b[n+len(j.Roster):]), "\n")
	if len(parts) != 3 {
		return j, bad
	}
	j.Region, j.Owner, j.Service = Region(parts[0]), Address(parts[1]), Service(parts[2])
	return j, nil
}
