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

// letters draws a text of sixteen letters, four bits in each.
func letters(n int) string {
	rng := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(rng.IntN(16))
	}
	return string(b)
}

// TestTexts: what was compressed comes back, and what would gain nothing is left as it is.
func TestTexts(t *testing.T) {
	noise := make([]byte, 4000)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(rng.IntN(256))
	}
	for _, test := range []struct {
		name, text string
		// most bounds the compressed length, as a part of the text's; zero is not compressed.
		most float64
	}{
		{"empty", "", 0},
		{"short", letters(199), 0},
		{"letters at random", letters(1200), 0.56},
		{"the longest of the platform", letters(4000), 0.56},
		{"like an order", strings.Repeat(`{"episode":"s04e11","slot":3},`, 40), 0.1},
		{"bytes at random", string(noise), 0},
		{"the longest", strings.Repeat("x", deflate.MaxText), 0.1},
		{"too long", strings.Repeat("x", deflate.MaxText+1), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := deflate.Compress(test.text)
			if test.most == 0 {
				qt.Assert(t, c, qt.IsNil)
				return
			}
			qt.Assert(t, float64(len(c)) <= test.most*float64(len(test.text)), qt.IsTrue, qt.Commentf("%d of %d", len(c), len(test.text)))
			got, err := deflate.Decompress(c)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, test.text)
		})
	}
}

// TestDamaged: what is no compressed text is refused, also one that would fill the memory, and the next text is read well.
func TestDamaged(t *testing.T) {
	whole := deflate.Compress(letters(1200))
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
		{"nothing", nil, ".*EOF"},
		{"cut off", whole[:len(whole)/2], ".*EOF"},
		{"something else", []byte{0xff, 0xff, 0xff}, ".*"},
		{"too long", huge.Bytes(), "deflate: the text has more than 65536 bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := deflate.Decompress(test.b)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			got, err := deflate.Decompress(whole)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, letters(1200))
		})
	}
}

// BenchmarkDeflate: the mean text of the podcast producers, 1.2 kB.
func BenchmarkDeflate(b *testing.B) {
	text := letters(1200)
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
