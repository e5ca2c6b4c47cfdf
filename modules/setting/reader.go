package setting

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// reader reads typed values from an INI file and collects the faults that it finds. The
// maps keyLines and knownKeys have the results of qualifiedKey as keys.
type reader struct {
	path      string
	file      *ini.File
	keyLines  map[string]int
	knownKeys map[string]bool
	faults    Faults
}

func newReader(path string, file *ini.File, content []byte) *reader {
	return &reader{path: path, file: file, keyLines: lineNumbers(content), knownKeys: map[string]bool{}}
}

// qualifiedKey returns the map key of a key in a section. An empty key stands for the
// section itself.
func qualifiedKey(section, key string) string { return section + "\x00" + key }

// lineNumbers returns the line number of each section and key, since the INI library does
// not keep them.
func lineNumbers(content []byte) map[string]int {
	lines := map[string]int{}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			lines[qualifiedKey(section, "")] = i + 1
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, ";") && !strings.HasPrefix(line, "#") {
			lines[qualifiedKey(section, strings.TrimSpace(key))] = i + 1
		}
	}
	return lines
}

// addFault records a fault at the line of the key, or of its section if the key is not in
// the file.
func (r *reader) addFault(section, key, format string, args ...any) {
	line, ok := r.keyLines[qualifiedKey(section, key)]
	if !ok {
		line = r.keyLines[qualifiedKey(section, "")]
	}
	r.faults = append(r.faults, Fault{r.path, section, key, line, fmt.Sprintf(format, args...)})
}

// value returns the value of a key and whether the key is set, and marks the key as known.
func (r *reader) value(section, key string) (string, bool) {
	r.knownKeys[qualifiedKey(section, key)] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).Value()), true
}

func (r *reader) required(section, key string) (string, bool) {
	v, ok := r.value(section, key)
	if !ok || v == "" {
		r.addFault(section, key, "is required")
		return "", false
	}
	return v, true
}

func (r *reader) name(section, key string) string {
	v, ok := r.required(section, key)
	if ok && !namePattern.MatchString(v) {
		r.addFault(section, key, "%q is not a name of lower-case letters, digits, '-' and '.'", v)
	}
	return v
}

func (r *reader) address(section, key string) string {
	v, ok := r.required(section, key)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		r.addFault(section, key, "%q is not an IP address with a port", v)
	case a.Port() == 0:
		r.addFault(section, key, "%q has port 0", v)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		r.addFault(section, key, "%q is not the address of one host", v)
	}
	return v
}

func (r *reader) readableFile(section, key string) string {
	v, ok := r.required(section, key)
	if !ok {
		return ""
	}
	if _, err := os.Stat(v); err != nil {
		r.addFault(section, key, "file %q cannot be read", v)
	}
	return v
}

func (r *reader) oneOf(section, key, def string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		r.addFault(section, key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) duration(section, key string, def, lowest, highest time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.addFault(section, key, "%q is not a duration with a unit, such as 250ms", v)
		return def
	}
	if d < lowest || d > highest {
		r.addFault(section, key, "%s is outside %s to %s", d, lowest, highest)
	}
	return d
}

func (r *reader) bytes(section, key string, def, lowest, highest int64) int64 {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	n, err := parseBytes(v)
	if err != nil {
		r.addFault(section, key, "%q is not a size with a unit, such as 64KiB", v)
		return def
	}
	if n < lowest || n > highest {
		r.addFault(section, key, "%d bytes is outside %d to %d", n, lowest, highest)
	}
	return n
}

func parseBytes(v string) (int64, error) {
	units := []struct {
		suffix string
		factor int64
	}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	for _, u := range units {
		if text, ok := strings.CutSuffix(v, u.suffix); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
			return n * u.factor, err
		}
	}
	return 0, strconv.ErrSyntax
}

func (r *reader) integer(section, key string, def, lowest, highest int) int {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.addFault(section, key, "%q is not a whole number", v)
		return def
	}
	if n < lowest || n > highest {
		r.addFault(section, key, "%d is outside %d to %d", n, lowest, highest)
	}
	return n
}

func (r *reader) fraction(section, key string, def float64) float64 {
	v, ok := r.value(section, key)
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0 && f <= 1) {
		r.addFault(section, key, "%q is not a fraction between 0 and 1", v)
		return def
	}
	return f
}

// rejectUnknownKeys records a fault for every key that no setting uses. It must be called
// after all settings have been read.
func (r *reader) rejectUnknownKeys() {
	for _, s := range r.file.Sections() {
		for _, k := range s.Keys() {
			if !r.knownKeys[qualifiedKey(s.Name(), k.Name())] {
				r.addFault(s.Name(), k.Name(), "is not a known key")
			}
		}
	}
}
