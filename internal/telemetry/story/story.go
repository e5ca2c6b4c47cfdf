// Package story reads log lines and tells the story of one request across hosts.
//
// # Usage
//
//	lines, err := story.Read("9c41d07be2a35f68", os.Stdin)
//
// Beside the lines of the request it keeps the last change of belief of the same
// host before each of them: which configuration was in force, which servers were
// leaving, whether the store was away.
package story

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

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Host    string         `json:"host"`
	Event   string         `json:"event"`
	Request string         `json:"request"`
	Fields  map[string]any `json:"fields"`
	// order is the place in the input, for lines of one moment.
	order int
}

// plain are the fields that String writes by itself.
var plain = map[string]bool{"time": true, "host": true, "event": true, "level": true, "message": true, "steps": true}

// String returns the line for people, the sends on lines of their own.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !plain[name] {
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

// Read returns the lines of a request and the beliefs behind them, in order. Text
// that is no log line is passed over, so that logs of a bench or a collector can
// be read as they are.
func Read(request string, readers ...io.Reader) ([]Line, error) {
	var told []Line
	beliefs := map[string]map[string]Line{}
	order := 0
	for _, r := range readers {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			order++
			l, ok := parse(s.Bytes(), order)
			switch {
			case !ok:
			case l.Request == request:
				told = append(told, l)
				for _, belief := range beliefs[l.Host] {
					told = append(told, belief)
				}
				delete(beliefs, l.Host)
			case l.Request == "":
				if beliefs[l.Host] == nil {
					beliefs[l.Host] = map[string]Line{}
				}
				beliefs[l.Host][l.Event] = l
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	if !slices.ContainsFunc(told, func(l Line) bool { return l.Request == request }) {
		return nil, nil
	}
	slices.SortFunc(told, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.order, b.order)) })
	return told, nil
}

// parse reads the JSON object of a line, whatever stands before it.
func parse(text []byte, order int) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{order: order}
	if err := json.Unmarshal(text[at:], &l.Fields); err != nil {
		return Line{}, false
	}
	l.Host, _ = l.Fields["host"].(string)
	l.Event, _ = l.Fields["event"].(string)
	l.Request, _ = l.Fields["request"].(string)
	stamp, _ := l.Fields["time"].(string)
	stamped, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	l.Time = stamped
	return l, true
}
