package cordon_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"hillreel/internal/config/cordon"
	"hillreel/internal/core/follow"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/logs"
	"hillreel/internal/core/rows"
)

// TestSetKeepsNewestSnapshot guards against a cordon that is lost, or comes back after it was lifted, because an older snapshot
// arrives after a newer one.
func TestSetKeepsNewestSnapshot(t *testing.T) {
	platform := func(version rows.Version, zones ...ident.Zone) cordon.Snapshot {
		return cordon.Snapshot{Source: cordon.Platform, Version: version, Zones: zones}
	}
	objects := func(version rows.Version, zones ...ident.Zone) cordon.Snapshot {
		return cordon.Snapshot{Source: cordon.Objects, Version: version, Zones: zones}
	}
	for _, test := range []struct {
		name     string
		adopted  []cordon.Snapshot
		zones    []ident.Zone
		complete bool
		changes  int
	}{
		{"nothing", nil, nil, false, 0},
		{"one source", []cordon.Snapshot{platform(3, "a")}, []ident.Zone{"a"}, false, 1},
		{"both sources", []cordon.Snapshot{platform(3, "a"), objects(2, "b")}, []ident.Zone{"a", "b"}, true, 2},
		{"both cordon one zone", []cordon.Snapshot{platform(3, "a"), objects(2, "a")}, []ident.Zone{"a"}, true, 2},
		{"lifted by one of two", []cordon.Snapshot{platform(3, "a"), objects(2, "a"), platform(5)}, []ident.Zone{"a"}, true, 3},
		{"set, lifted, set", []cordon.Snapshot{platform(3, "a"), platform(5), platform(8, "a")}, []ident.Zone{"a"}, false, 3},
		{"set, lifted, set, in reverse order", []cordon.Snapshot{platform(8, "a"), platform(5), platform(3, "a")}, []ident.Zone{"a"}, false, 1},
		{"lifted, then the late older snapshot", []cordon.Snapshot{platform(5), platform(3, "a")}, nil, false, 1},
		{"twice", []cordon.Snapshot{platform(3, "a"), platform(3, "a")}, []ident.Zone{"a"}, false, 1},
		{"an empty store", []cordon.Snapshot{platform(0), objects(0)}, nil, true, 2},
		{"an unknown source", []cordon.Snapshot{{Source: "others", Version: 9, Zones: []ident.Zone{"a"}}}, nil, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, changes := cordon.NewSet(nil), 0
			for _, snapshot := range test.adopted {
				if s.Adopt(snapshot) {
					changes++
				}
			}
			qt.Assert(t, changes, qt.Equals, test.changes)
			qt.Assert(t, s.Zones(), qt.DeepEquals, test.zones)
			qt.Assert(t, s.Complete(), qt.Equals, test.complete)
			for _, z := range test.zones {
				qt.Assert(t, s.Cordoned(z), qt.IsTrue)
			}
			qt.Assert(t, s.Cordoned("c"), qt.IsFalse)
		})
	}
}

// TestReaderPublishesSnapshots checks that the snapshots match the table, whether its changes arrive one by one or as the whole
// table. A row that can't be decoded cordons no zone and must not lift the other cordons.
func TestReaderPublishesSnapshots(t *testing.T) {
	table := cordon.Table{Source: cordon.Platform, Name: "op", Decode: func(r rows.Row) (ident.Zone, error) {
		switch string(r.Value) {
		case "other":
			return "", nil
		case "bad":
			return "", errors.New("value: bad")
		}
		return ident.Zone(r.Key.Name), nil
	}}
	row := func(name, value string) rows.Row { return rows.Row{Key: rows.Key{Name: name}, Value: []byte(value)} }
	gone := func(name string) rows.Row { return rows.Row{Key: rows.Key{Name: name}, Removed: true} }
	snapshot := func(version rows.Version, zones ...ident.Zone) cordon.Snapshot {
		return cordon.Snapshot{Source: cordon.Platform, Version: version, Zones: zones}
	}
	for _, test := range []struct {
		name    string
		changes []follow.Changes
		want    []cordon.Snapshot
	}{
		{"an empty table is known", []follow.Changes{{Complete: true, Version: 4}}, []cordon.Snapshot{snapshot(4)}},
		{"set and lifted", []follow.Changes{
			{Complete: true, Version: 4}, {Rows: []rows.Row{row("a", "")}, Version: 6}, {Rows: []rows.Row{gone("a")}, Version: 7},
		}, []cordon.Snapshot{snapshot(4), snapshot(6, "a"), snapshot(7)}},
		{"changes of other rows publish nothing", []follow.Changes{
			{Complete: true, Version: 4, Rows: []rows.Row{row("config", "other")}}, {Rows: []rows.Row{row("config", "other")}, Version: 6},
		}, []cordon.Snapshot{snapshot(4)}},
		{"removed while the history was not available", []follow.Changes{
			{Complete: true, Version: 4, Rows: []rows.Row{row("a", ""), row("b", "")}}, {Complete: true, Version: 9, Rows: []rows.Row{row("b", "")}},
		}, []cordon.Snapshot{snapshot(4, "a", "b"), snapshot(9, "b")}},
		{"set and lifted within one change", []follow.Changes{
			{Complete: true, Version: 4}, {Rows: []rows.Row{row("a", ""), gone("a")}, Version: 6},
		}, []cordon.Snapshot{snapshot(4)}},
		{"unreadable", []follow.Changes{
			{Complete: true, Version: 4, Rows: []rows.Row{row("a", "bad"), row("b", "")}},
		}, []cordon.Snapshot{snapshot(4, "b")}},
		{"overwritten by another writer", []follow.Changes{
			{Complete: true, Version: 4, Rows: []rows.Row{row("a", ""), row("b", "")}}, {Rows: []rows.Row{row("a", "bad")}, Version: 5},
		}, []cordon.Snapshot{snapshot(4, "a", "b"), snapshot(5, "b")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []cordon.Snapshot
			r := cordon.NewReader(table, func(s cordon.Snapshot) { got = append(got, s) }, logs.Discard())
			for _, c := range test.changes {
				r.ApplyChanges(c)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestPeerIsToldWhatDiffers checks that a peer is sent each snapshot with other content exactly once, also in answer to an
// outdated one. A peer that is not sent it would keep giving work to a cordoned zone.
func TestPeerIsToldWhatDiffers(t *testing.T) {
	at := func(version rows.Version, zones ...ident.Zone) cordon.Snapshot {
		return cordon.Snapshot{Source: cordon.Platform, Version: version, Zones: zones}
	}
	for _, test := range []struct {
		name     string
		peer     *cordon.Peer
		received []cordon.Snapshot
		have     cordon.Snapshot
		due      bool
	}{
		{"unknown knowledge", cordon.NewPeer(), nil, at(3), true},
		{"assumes no cordons, there are none", cordon.NewPeerWithoutCordons(), nil, at(3), false},
		{"assumes no cordons, there is one", cordon.NewPeerWithoutCordons(), nil, at(3, "a"), true},
		{"has sent the same at an older version", cordon.NewPeer(), []cordon.Snapshot{at(2, "a")}, at(3, "a"), false},
		{"has sent an older snapshot", cordon.NewPeer(), []cordon.Snapshot{at(2)}, at(3, "a"), true},
		{"has sent a newer snapshot", cordon.NewPeer(), []cordon.Snapshot{at(4)}, at(3, "a"), false},
		{"has sent an older snapshot after a newer one", cordon.NewPeer(), []cordon.Snapshot{at(4), at(2, "a")}, at(3, "a"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, s := range test.received {
				test.peer.RecordReceived(s)
			}
			due := test.peer.TakeDue([]cordon.Snapshot{test.have})
			qt.Assert(t, len(due) == 1, qt.Equals, test.due)
			qt.Assert(t, test.peer.TakeDue([]cordon.Snapshot{test.have}), qt.HasLen, 0)
		})
	}
}
