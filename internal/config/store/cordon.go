package store

import (
	"strings"

	"hillreel/internal/config/cordon"
	"hillreel/internal/config/object"
	"hillreel/internal/core/ident"
	"hillreel/internal/core/rows"
)

// Cordons is the table of the zones that configuration objects cordon.
var Cordons = cordon.Table{Source: cordon.Objects, Name: Objects, Decode: readCordon}

// readCordon returns the zone that an object cordons. It is empty if the object cordons no zone.
func readCordon(row rows.Row) (ident.Zone, error) {
	if !strings.HasPrefix(row.Key.Name, string(object.KindZone)+"/") {
		return "", nil
	}
	o, err := readObject(row)
	if err != nil {
		return "", err
	}
	z, err := object.DecodeSpec[object.Zone](o)
	if err != nil || !z.Cordoned {
		return "", err
	}
	return ident.Zone(o.Name), nil
}
