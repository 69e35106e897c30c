package plan

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Error reports an invalid field of a plan file.
type Error struct{ File, Section, Key, Reason string }

// Error returns the message with the file, section, key and reason.
func (e *Error) Error() string {
	return "plan: " + e.File + ": [" + e.Section + "] " + e.Key + ": " + e.Reason
}

// Override replaces the value of one field of a plan file.
type Override struct{ Section, Key, Value string }

// Read reads a plan file, with some of its fields replaced. Its error has one line per problem, each of which names the section and the
// field.
func Read(file string, overrides ...Override) (*Plan, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "plan")
	}
	return Parse(file, raw, overrides...)
}

// Parse reads the text of a plan file. Errors give name as the file.
func Parse(name string, text []byte, overrides ...Override) (*Plan, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, AllowShadows: true}, text)
	if err != nil {
		return nil, errors.Wrap(err, "plan: "+name)
	}
	for _, o := range overrides {
		f.Section(o.Section).DeleteKey(o.Key)
		f.Section(o.Section).Key(o.Key).SetValue(o.Value)
	}
	r := &reader{file: name}
	p := &Plan{}
	f.Section("run") // creates a missing section, so that its fields get their defaults
	f.Section("delays")
	for _, s := range f.Sections() {
		r.readSection(p, s)
	}
	if len(r.problems) == 0 {
		r.checkPlan(p)
	}
	return p, r.err()
}

type reader struct {
	file     string
	problems []string
}

func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(r.problems, "\n"))
}

func (r *reader) addProblem(section, key, reason string) {
	e := Error{r.file, section, key, reason}
	r.problems = append(r.problems, e.Error())
}

// fields reads the keys of one section and remembers which keys it has used.
type fields struct {
	r    *reader
	s    *ini.Section
	used []string
}

// readSection reads one section. The first word of its title is the type, the rest is the name of the zone, kind of entry
// or upstream, job or fault that it describes.
func (r *reader) readSection(p *Plan, s *ini.Section) {
	f := &fields{r: r, s: s}
	what, name, named := strings.Cut(s.Name(), " ")
	name = strings.TrimSpace(name)
	if wants := what != ini.DefaultSection && what != "run" && what != "delays"; wants && (!named || name == "") {
		r.addProblem(s.Name(), "", "the section needs a name, as in [zone a]")
		return
	}
	switch what {
	case ini.DefaultSection:
	case "run":
		f.readRun(p)
	case "delays":
		f.readDelays(p)
	case "zone":
		f.readZone(p, name)
	case "entry":
		f.readEntry(p, name)
	case "upstream":
		f.readUpstream(p, name)
	case "job":
		f.readJob(p, name)
	case "share":
		f.readShare(p, name)
	case "fault":
		f.readFault(p, name)
	default:
		r.addProblem(s.Name(), "", "no such section; the sections are run, delays, zone, entry, upstream, job, share and fault")
		return
	}
	for _, k := range s.KeyStrings() {
		if !slices.Contains(f.used, k) {
			r.addProblem(s.Name(), k, "no such field")
		}
	}
}

func (f *fields) readRun(p *Plan) {
	p.Seed = uint64(f.count("seed", 1, 1, 1<<40))
	p.Length = f.time("length", 20*time.Second, time.Second, time.Hour)
	p.Warmup = f.time("warmup", 2*time.Second, 0, time.Hour)
	p.Load = f.number("load", 1, 0.01, 100)
	p.RemoteFactor = f.number("remote_factor", 1, 1, 100)
	p.MaxReturns = f.count("returns", 0, 0, 100)
	p.ClaimFrom = f.count("claim_from", 0, 0, maxVMs)
}

func (f *fields) readDelays(p *Plan) {
	const most = time.Second
	p.Delays = Delays{
		Near: f.time("near", 200*time.Microsecond, 0, most), Far: f.time("far", 500*time.Microsecond, 0, most),
		Callers: f.time("callers", time.Millisecond, 0, most), Handling: f.time("handling", 300*time.Microsecond, 0, most),
		EntryLinkMbits: f.number("entry_link_mbits", 0, 0, 1e6),
	}
}

// Upper bounds of a plan: they exceed the largest region that hillreel is built for.
const (
	maxVMs       = 5000
	maxTasks     = 10_000
	maxTextBytes = 1 << 20
)

func (f *fields) readZone(p *Plan, name string) {
	p.Zones = append(p.Zones, Zone{
		Name: name, Entries: f.count("entries", 1, 0, maxVMs), Upstreams: f.count("upstreams", 1, 0, maxVMs),
		Share: f.number("share", 1, 0, 1000), EntryKind: f.text("entry_kind"),
		Rack: f.count("rack", 0, 0, maxVMs), Swing: f.number("swing", 0, 0, 1),
		Period: f.time("period", 20*time.Second, 100*time.Millisecond, time.Hour), Phase: f.number("phase", 0, 0, 1),
	})
}

func (f *fields) readEntry(p *Plan, name string) {
	p.Entries = append(p.Entries, Entry{
		Name: name, Weight: f.count("weight", 1, 1, 1000), LinkMbits: f.number("link_mbits", 0, 0, 1e6),
		Handling: f.time("handling", 0, 0, time.Second),
	})
}

func (f *fields) readUpstream(p *Plan, name string) {
	p.Upstreams = append(p.Upstreams, Upstream{
		Name: name, Weight: f.count("weight", 1, 1, 1000), Cores: f.number("cores", 16, 0.1, 10_000),
		Slowness: f.number("slowness", 1, 0.01, 1000),
	})
}

func (f *fields) readJob(p *Plan, name string) {
	p.Jobs = append(p.Jobs, Job{
		Name: name, Rate: f.number("rate", 0, 0, 1e6), Tasks: f.count("tasks", 1, 1, maxTasks),
		MaxTasks: f.count("max_tasks", 4*f.count("tasks", 1, 1, maxTasks), 1, maxTasks),
		Time:     f.time("time", 0, time.Millisecond, time.Hour), Spread: f.number("spread", 0.4, 0, 3),
		Uneven: f.number("uneven", 0.15, 0, 3), EstimateError: f.number("estimate_off", 0.4, 0, 0.99),
		Cores: f.number("cores", 1, 0.001, 10_000), Stretch: f.number("stretch", 1.6, 0, 100),
		Target: f.time("target", 60*time.Millisecond, 0, time.Hour), Deadline: f.time("deadline", 4*time.Second, time.Millisecond, time.Hour),
		Near:      f.number("near", 0, 0, 1),
		TextBytes: f.count("text_bytes", 0, 0, maxTextBytes),
		Priority:  f.count("priority", 0, 0, 100), Attempts: f.count("attempts", 2, 1, 100),
	})
}

func (f *fields) readFault(p *Plan, name string) {
	p.Faults = append(p.Faults, Fault{
		Name: name, Kind: f.kind(), At: f.time("at", 0, 0, time.Hour), For: f.time("for", 5*time.Second, 0, time.Hour),
		Zone: f.text("zone"), Job: f.text("job"), Count: f.count("count", 1, 1, maxVMs), Factor: f.number("factor", 1, 0, 1000),
	})
}

func (f *fields) readShare(p *Plan, name string) {
	s := Share{
		Team: name, Weight: f.number("weight", 1, 0.001, 1e6), Floor: f.number("floor", 0, 0, 1), Limit: f.number("limit", 0, 0, 1),
	}
	for _, r := range strings.Split(f.text("routes"), ",") {
		s.Routes = append(s.Routes, strings.TrimSpace(r))
	}
	p.Shares = append(p.Shares, s)
}

func (f *fields) text(key string) string {
	f.used = append(f.used, key)
	return f.s.Key(key).String()
}

func (f *fields) kind() Kind {
	k := Kind(f.text("kind"))
	if !slices.Contains(Kinds, k) {
		f.r.addProblem(f.s.Name(), "kind", fmt.Sprintf("%q is not one of %v", k, Kinds))
	}
	return k
}

// number reads a number between least and most; def is the default.
func (f *fields) number(key string, def, least, most float64) float64 {
	text := f.text(key)
	if text == "" {
		return f.checkBounds(key, def, least, most)
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		f.r.addProblem(f.s.Name(), key, fmt.Sprintf("%q is not a number", text))
		return def
	}
	return f.checkBounds(key, v, least, most)
}

func (f *fields) checkBounds(key string, v, least, most float64) float64 {
	if !(v >= least && v <= most) { // also true for NaN
		f.r.addProblem(f.s.Name(), key, fmt.Sprintf("%v is not between %v and %v", v, least, most))
	}
	return v
}

// count reads a whole number between least and most; def is the default.
func (f *fields) count(key string, def, least, most int) int {
	text := f.text(key)
	if text == "" {
		return def
	}
	v, err := strconv.Atoi(text)
	if err != nil {
		f.r.addProblem(f.s.Name(), key, fmt.Sprintf("%q is not a whole number", text))
		return def
	}
	f.checkBounds(key, float64(v), float64(least), float64(most))
	return v
}

// time reads a duration with its unit, between least and most; def is the default.
func (f *fields) time(key string, def, least, most time.Duration) time.Duration {
	text := f.text(key)
	v := def
	if text != "" {
		var err error
		if v, err = time.ParseDuration(text); err != nil {
			f.r.addProblem(f.s.Name(), key, fmt.Sprintf("%q is not a duration such as 60ms", text))
			return def
		}
	}
	if v < least || v > most {
		f.r.addProblem(f.s.Name(), key, fmt.Sprintf("%v is not between %v and %v", v, least, most))
	}
	return v
}

// checkPlan reports the problems that involve several fields.
func (r *reader) checkPlan(p *Plan) {
	var entries, upstreams int
	var share, rate float64
	zones, jobs := map[string]bool{"": true}, map[string]bool{"": true}
	for _, z := range p.Zones {
		entries, upstreams, share = entries+z.Entries, upstreams+z.Upstreams, share+z.Share
		zones[z.Name] = true
	}
	for _, j := range p.Jobs {
		rate += j.Rate
		jobs[j.Name] = true
	}
	switch {
	case entries == 0 || upstreams == 0:
		r.addProblem("zone", "entries, upstreams", "at least one entry and one upstream are needed")
	case share == 0:
		r.addProblem("zone", "share", "the shares of all zones are 0")
	case len(p.Upstreams) == 0:
		r.addProblem("upstream", "", "at least one [upstream NAME] section is needed")
	case rate == 0:
		r.addProblem("job", "rate", "the rates of all jobs are 0")
	case p.Warmup >= p.Length:
		r.addProblem("run", "warmup", "must be shorter than the length")
	}
	r.checkEntryKinds(p)
	r.checkRacks(p)
	for i := range p.Faults {
		if f := &p.Faults[i]; f.Kind == Burst && p.exceedsMaxBurst(f.At) {
			r.addProblem("fault "+f.Name, "factor", fmt.Sprintf("one zone would send more than %v times the usual jobs of all zones", MaxBurst))
		}
	}
	r.checkShares(p, jobs)
	for _, f := range p.Faults {
		if !zones[f.Zone] {
			r.addProblem("fault "+f.Name, "zone", "no zone is named "+f.Zone)
		}
		if f.Kind == ZoneCordoned && f.Zone == "" {
			r.addProblem("fault "+f.Name, "zone", "required for this kind of fault")
		}
		if !jobs[f.Job] {
			r.addProblem("fault "+f.Name, "job", "no job is named "+f.Job)
		}
	}
}

// checkShares reports the problems of shares. jobs holds the names of all jobs, and the empty one.
func (r *reader) checkShares(p *Plan, jobs map[string]bool) {
	var floors float64
	teamOf := make(map[string]string)
	for _, s := range p.Shares {
		section := "share " + s.Team
		for _, name := range s.Routes {
			switch {
			case name == "":
				r.addProblem(section, "routes", "a job's name is missing")
			case !jobs[name]:
				r.addProblem(section, "routes", "no job is named "+name)
			case teamOf[name] != "":
				r.addProblem(section, "routes", name+" belongs to "+teamOf[name])
			}
			teamOf[name] = s.Team
		}
		if s.Limit > 0 && s.Floor > s.Limit {
			r.addProblem(section, "floor", "must be at most the limit")
		}
		floors += s.Floor
	}
	if floors > 1 {
		r.addProblem("share", "floor", "the floors add up to more than 1")
	}
}

// checkEntryKinds reports zones whose entries are of a kind that the plan does not have.
func (r *reader) checkEntryKinds(p *Plan) {
	kinds := map[string]bool{"": true}
	for _, e := range p.Entries {
		kinds[e.Name] = true
	}
	for _, z := range p.Zones {
		if !kinds[z.EntryKind] {
			r.addProblem("zone "+z.Name, "entry_kind", "no kind of entry is named "+z.EntryKind)
		}
	}
}

// checkRacks reports jobs and faults that need racks, if the plan has none.
func (r *reader) checkRacks(p *Plan) {
	racks := map[string]int{}
	for i := range p.Zones {
		racks[p.Zones[i].Name] = p.Zones[i].Racks()
		racks[""] += p.Zones[i].Racks()
	}
	for _, j := range p.Jobs {
		if j.Near > 0 && racks[""] == 0 {
			r.addProblem("job "+j.Name, "near", "no zone has racks")
		}
	}
	for _, f := range p.Faults {
		switch {
		case f.Kind != HotRack:
		case f.Factor > 1:
			r.addProblem("fault "+f.Name, "factor", fmt.Sprintf("%v is not between 0 and 1", f.Factor))
		case racks[f.Zone] == 0:
			r.addProblem("fault "+f.Name, "zone", "has no racks")
		}
	}
}
