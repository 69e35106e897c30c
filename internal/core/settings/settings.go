// Package settings reads INI files into typed settings. It refuses whatever it does not understand, with the file, section, key and reason.
// hillreel.ini documents every option with its default; a test compares that file with the struct tags here.
package settings

import (
	"cmp"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Secret is a value that must not appear in logs or errors.
type Secret string

// String returns a placeholder instead of the value.
func (s Secret) String() string { return "(secret)" }

// GoString returns a placeholder instead of the value.
func (s Secret) GoString() string { return "(secret)" }

// Secrets is a list of values that must not appear in logs or errors.
type Secrets []Secret

// Bytes is a size in bytes. In the file it may have the unit kb or mb.
type Bytes int64

// Address is an IP address with a port.
type Address string

// Error reports why one option was refused.
type Error struct{ File, Section, Key, Reason string }

// Error returns the file, section, key and reason.
func (e *Error) Error() string {
	return "settings: " + e.File + ": [" + e.Section + "] " + e.Key + ": " + e.Reason
}

// Load reads file and uses the defaults for all options that it leaves out. An empty name returns the defaults. The error lists all
// problems found, one per line.
func Load(file string) (*Settings, error) {
	s := &Settings{}
	l := &loader{file: file}
	l.applyDefaults(s)
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "settings")
		}
		l.parse(s, raw)
	}
	if len(l.problems) == 0 {
		l.problems = append(l.problems, s.findConflicts(file)...)
	}
	return s, l.err()
}

// Parse does the same as Load for the text of a settings file; name stands for the file in errors.
func Parse(name, text string) (*Settings, error) {
	s := &Settings{}
	l := &loader{file: name}
	l.applyDefaults(s)
	l.parse(s, []byte(text))
	if len(l.problems) == 0 {
		l.problems = append(l.problems, s.findConflicts(name)...)
	}
	return s, l.err()
}

// Set parses text into one option, as if it stood in the file.
func (s *Settings) Set(section, key, text string) error {
	for _, o := range options(s) {
		if o.section != section || o.key != key {
			continue
		}
		reason := parseInto(o.value, text)
		if reason == "" {
			reason = o.checkRange()
		}
		if reason == "" {
			return nil
		}
		return &Error{"", section, key, reason}
	}
	return &Error{"", section, key, "no such option"}
}

type loader struct {
	file     string
	problems []*Error
}

func (l *loader) err() error {
	if len(l.problems) == 0 {
		return nil
	}
	lines := make([]string, len(l.problems))
	for i, p := range l.problems {
		lines[i] = p.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}

func (l *loader) addProblem(section, key, reason string) {
	l.problems = append(l.problems, &Error{l.file, section, key, reason})
}

func (l *loader) applyDefaults(s *Settings) {
	for _, o := range options(s) {
		if reason := parseInto(o.value, o.def); reason != "" {
			l.addProblem(o.section, o.key, "default: "+reason)
		}
	}
}

func (l *loader) parse(s *Settings, raw []byte) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true}, raw)
	if err != nil {
		l.addProblem("", "", "not INI: "+err.Error())
		return
	}
	known := make(map[string]option)
	sections := make(map[string]bool)
	for _, o := range options(s) {
		known[o.section+"\n"+o.key] = o
		sections[o.section] = true
	}
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !sections[section.Name()] {
			l.addProblem(section.Name(), "", "no such section")
			continue
		}
		l.parseSection(section, known)
	}
}

func (l *loader) parseSection(section *ini.Section, known map[string]option) {
	for _, key := range section.Keys() {
		o, ok := known[section.Name()+"\n"+key.Name()]
		if !ok {
			l.addProblem(section.Name(), key.Name(), "no such option")
			continue
		}
		if len(key.ValueWithShadows()) > 1 {
			l.addProblem(section.Name(), key.Name(), "given more than once")
			continue
		}
		if reason := parseInto(o.value, key.Value()); reason != "" {
			l.addProblem(section.Name(), key.Name(), reason)
			continue
		}
		if reason := o.checkRange(); reason != "" {
			l.addProblem(section.Name(), key.Name(), reason)
		}
	}
}

// option is one field of a section of Settings, with its tags.
type option struct {
	section, key, def, doc, min, max string
	value                            reflect.Value
}

// options returns all options in the order of the file.
func options(s *Settings) []option {
	var out []option
	top := reflect.ValueOf(s).Elem()
	for i := range top.NumField() {
		section := top.Field(i)
		name := top.Type().Field(i).Tag.Get("ini")
		for k := range section.NumField() {
			tag := section.Type().Field(k).Tag
			out = append(out, option{
				section: name, key: tag.Get("ini"), def: tag.Get("default"), doc: tag.Get("doc"),
				min: tag.Get("min"), max: tag.Get("max"), value: section.Field(k),
			})
		}
	}
	return out
}

// parseInto parses text into a field. It returns the reason if text is not valid, or "". A Secret's text never appears in the reason.
func parseInto(v reflect.Value, text string) string {
	text = strings.TrimSpace(text)
	switch v.Interface().(type) {
	case Secret, string:
		v.SetString(text)
	case Address:
		if reason := checkAddress(text); reason != "" {
			return reason
		}
		v.SetString(text)
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return "want a duration with its unit, such as 250ms or 10s, not " + strconv.Quote(text)
		}
		v.SetInt(int64(d))
	case Bytes:
		n, err := parseBytes(text)
		if err != nil {
			return "want a size, such as 64kb or 8mb, not " + strconv.Quote(text)
		}
		v.SetInt(n)
	case int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return "want a whole number without unit, not " + strconv.Quote(text)
		}
		v.SetInt(int64(n))
	case float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "want a number, not " + strconv.Quote(text)
		}
		v.SetFloat(f)
	case bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return "want true or false, not " + strconv.Quote(text)
		}
		v.SetBool(b)
	case Secrets:
		var out Secrets
		for _, part := range splitList(text) {
			out = append(out, Secret(part))
		}
		v.Set(reflect.ValueOf(out))
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
	}
	return ""
}

// tokenParts is the number of parts of name/role/token.
const tokenParts = 3

func splitToken(text string) []string { return strings.SplitN(text, "/", tokenParts) }

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func checkAddress(text string) string {
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return "want an IP address with a port, such as 10.0.0.7:7400, not " + strconv.Quote(text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return "want a port from 0 to 65535, not " + strconv.Quote(port)
	}
	return ""
}

func parseBytes(text string) (int64, error) {
	factor := int64(1)
	lower := strings.ToLower(text)
	switch {
	case strings.HasSuffix(lower, "kb"):
		factor, lower = 1<<10, strings.TrimSuffix(lower, "kb")
	case strings.HasSuffix(lower, "mb"):
		factor, lower = 1<<20, strings.TrimSuffix(lower, "mb")
	}
	n, err := strconv.ParseInt(strings.TrimSpace(lower), 10, 64)
	if err == nil && n < 0 {
		err = errors.New("negative")
	}
	return n * factor, err
}

// checkRange compares the value with the bounds in its tags and returns the reason if it is outside, or "".
func (o option) checkRange() string {
	limit := reflect.New(o.value.Type()).Elem()
	if o.min != "" && parseInto(limit, o.min) == "" && compareNumbers(o.value, limit) < 0 {
		return "must be at least " + o.min
	}
	if o.max != "" && parseInto(limit, o.max) == "" && compareNumbers(o.value, limit) > 0 {
		return "must be at most " + o.max
	}
	return ""
}

// compareNumbers compares two numbers of the same type. A float that is not a number is below all others.
func compareNumbers(a, b reflect.Value) int {
	if a.CanFloat() {
		return cmp.Compare(a.Float(), b.Float())
	}
	return cmp.Compare(a.Int(), b.Int())
}

// Document returns the text of hillreel.ini: every option with its description and default.
func Document() string {
	var b strings.Builder
	b.WriteString("# Every option of hillreel, beside its default. An option that is left out has that default.\n")
	b.WriteString("# Durations carry a unit (250ms, 10s), sizes may (64kb, 8mb), addresses are IP addresses with a port.\n")
	section := ""
	for _, o := range options(&Settings{}) {
		if o.section != section {
			section = o.section
			b.WriteString("\n[" + section + "]\n")
		}
		b.WriteString("# " + o.doc + "\n")
		if o.min != "" || o.max != "" {
			b.WriteString("# Range: " + o.min + " to " + o.max + ".\n")
		}
		b.WriteString(strings.TrimSpace(o.key+" = "+o.def) + "\n")
	}
	return b.String()
}
