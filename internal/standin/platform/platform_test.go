package platform_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hillreel/internal/core/ident"
	"hillreel/internal/core/verdict"
	"hillreel/internal/platform/table"
	"hillreel/internal/standin/platform"
)

func TestTable(t *testing.T) {
	s := platform.New(0)
	address, err := s.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer s.Stop()
	c := table.New(ident.Address(address), time.Second)
	ctx := context.Background()
	write := func(v table.Version, text string) error {
		_, err := c.Commit(ctx, table.Txn{Writes: []table.Write{{Key: "a/b", If: v, Value: json.RawMessage(text)}}})
		return err
	}

	_, err = c.Get(ctx, "a/b")
	qt.Assert(t, err, qt.ErrorIs, table.ErrNotFound)
	qt.Assert(t, write(0, `1`), qt.IsNil)
	err = write(0, `2`)
	qt.Assert(t, err, qt.ErrorIs, table.ErrConflict)
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)

	s.SetFault(platform.Fault{LoseAnswers: 1})
	err = write(1, `3`)
	qt.Assert(t, verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	row, err := c.Get(ctx, "a/b")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(row.Value), qt.Equals, `3`, qt.Commentf("the write took effect though its answer was lost"))

	s.SetFault(platform.Fault{Down: true})
	qt.Assert(t, verdict.Of(write(2, `4`)), qt.Equals, verdict.MayHaveRun)
	s.SetFault(platform.Fault{})
	rows, err := c.List(ctx, "a/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 1)
	qt.Assert(t, rows[0].Version, qt.Equals, table.Version(2))
}
