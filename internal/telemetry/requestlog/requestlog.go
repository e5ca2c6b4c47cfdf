// Package requestlog reads the logs of several hosts and selects the lines that
// concern one request.
//
// # Usage
//
//	lines, err := requestlog.Read("9c41d07be2a35f68", os.Stdin)
//
// Read also returns the lines that show the state of a host when it handled the
// request, such as the configuration in force, the servers that were leaving and
// whether the store was down. These lines belong to no request. For each type of event,
// Read returns the last such line that the host logged before a line of the request.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a decoded log line. Request is the ID of the request that the line concerns, or
// "" if there is none. Fields holds all fields of the line.
type Line struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Event   string         `json:"event"`
	Request string         `json:"request"`
	Fields  map[string]any `json:"fields"`
	// position is the number of the line, counted over all inputs. It orders lines with
	// equal times.
	position int
}

// separateFields are the fields that String omits or writes in another form than
// name=value.
var separateFields = map[string]bool{"time": true, "host": true, "event": true, "level": true, "message": true, "steps": true}

// String formats the line for reading: time, host, event and the remaining fields on one
// line, followed by one indented line for each transmission of the request to a server.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !separateFields[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Host, l.Event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	b.WriteByte('\n')
	if steps, ok := l.Fields["steps"].([]any); ok {
		for _, s := range steps {
			fmt.Fprintf(&b, "    %v\n", s)
		}
	}
	return b.String()
}

// Read returns the log lines of the request with the given ID and the lines that show the
// state of the hosts that handled it, ordered by time. It returns nil if no line belongs
// to the request. It ignores text before the JSON object of a line, and lines that are
// not log lines, so that the output of a benchmark or a log collector can be read
// unchanged. It fails if a reader fails or a line is longer than 1 MiB.
func Read(request string, readers ...io.Reader) ([]Line, error) {
	var selected []Line
	// hostEvents holds, by host and type of event, the last line read that belongs to no
	// request.
	hostEvents := map[string]map[string]Line{}
	position := 0
	for _, r := range readers {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			position++
			l, ok := parseLine(s.Bytes(), position)
			switch {
			case !ok:
			case l.Request == request:
				selected = append(selected, l)
				for _, event := range hostEvents[l.Host] {
					selected = append(selected, event)
				}
				delete(hostEvents, l.Host)
			case l.Request == "":
				if hostEvents[l.Host] == nil {
					hostEvents[l.Host] = map[string]Line{}
				}
				hostEvents[l.Host][l.Event] = l
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	if !slices.ContainsFunc(selected, func(l Line) bool { return l.Request == request }) {
		return nil, nil
	}
	slices.SortFunc(selected, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.position, b.position)) })
	return selected, nil
}

// parseLine decodes the JSON object of a line and ignores any text before it. It reports
// whether the line is a log line, that is, whether it has an event and a valid time.
func parseLine(text []byte, position int) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{position: position}
	if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
		return Line{}, false
	}
	l.Host, _ = l.Fields["host"].(string)
	l.Event, _ = l.Fields["event"].(string)
	l.Request, _ = l.Fields["request"].(string)
	timestamp, _ := l.Fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	l.Time = parsed
	return l, true
}
