package deflate_test

import (
	"bytes"
	"compress/flate"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/link/deflate"
)

// randomLetters returns n random letters out of sixteen, so each letter carries four bits.
func randomLetters(n int) string {
	rng := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(rng.IntN(16))
	}
	return string(b)
}

// TestTexts guards against texts that change between Compress and Decompress, and against compressing texts that would not shrink.
func TestTexts(t *testing.T) {
	noise := make([]byte, 4000)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(rng.IntN(256))
	}
	for _, test := range []struct {
		name, text string
		// maxRatio bounds the compressed length as a fraction of the text's length; with zero the text must not be compressed.
		maxRatio float64
	}{
		{"empty", "", 0},
		{"short", randomLetters(199), 0},
		{"random letters", randomLetters(1200), 0.56},
		{"longest text of the platform", randomLetters(4000), 0.56},
		{"like an order", strings.Repeat(`{"episode":"s04e11","slot":3},`, 40), 0.1},
		{"random bytes", string(noise), 0},
		{"longest", strings.Repeat("x", deflate.MaxText), 0.1},
		{"too long", strings.Repeat("x", deflate.MaxText+1), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := deflate.Compress(test.text)
			if test.maxRatio == 0 {
				qt.Assert(t, c, qt.IsNil)
				return
			}
			qt.Assert(t, float64(len(c)) <= test.maxRatio*float64(len(test.text)), qt.IsTrue, qt.Commentf("%d of %d", len(c), len(test.text)))
			got, err := deflate.Decompress(c)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, test.text)
		})
	}
}

// TestDamaged guards against damaged input, also a small input that would expand to exhaust the memory. Decompress must return an error,
// and its pooled reader must decode the next text correctly.
func TestDamaged(t *testing.T) {
	complete := deflate.Compress(randomLetters(1200))
	var huge bytes.Buffer
	w, err := flate.NewWriter(&huge, flate.BestSpeed)
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(w, strings.Repeat("x", 100*deflate.MaxText))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Close(), qt.IsNil)
	for _, test := range []struct {
		name string
		b    []byte
		want string
	}{
		{"empty", nil, ".*EOF"},
		{"cut off", complete[:len(complete)/2], ".*EOF"},
		{"not compressed", []byte{0xff, 0xff, 0xff}, ".*"},
		{"too long", huge.Bytes(), "deflate: the text has more than 65536 bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := deflate.Decompress(test.b)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			got, err := deflate.Decompress(complete)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, randomLetters(1200))
		})
	}
}

// BenchmarkDeflate uses a text of 1.2 kB, the mean length of the podcast producers' texts.
func BenchmarkDeflate(b *testing.B) {
	text := randomLetters(1200)
	c := deflate.Compress(text)
	b.Run("compress", func(b *testing.B) {
		for b.Loop() {
			deflate.Compress(text)
		}
	})
	b.Run("decompress", func(b *testing.B) {
		for b.Loop() {
			if _, err := deflate.Decompress(c); err != nil {
				b.Fatal(err)
			}
		}
	})
}
