package requestlog

import (
	"strings"
	"testing"
)

const logs = `   1.0 kgn-1 {"host":"kgn-1","event":"config_in_force","version":3,"time":"2026-12-04T08:00:01Z"}
noise without an object
{"host":"mbj-1","event":"config_in_force","version":4,"time":"2026-12-04T08:00:01Z"}
   2.0 kgn-1 {"host":"kgn-1","event":"request","request":"aa","status":503,"steps":["s1 i-1@z entry 4 +0s refused after 2ms"],"time":"2026-12-04T08:00:02Z"}
{"host":"kgn-1","event":"request","request":"bb","status":200,"time":"2026-12-04T08:00:03Z"}
{"broken
`

func TestReadReturnsRequestAndStateOfItsHost(t *testing.T) {
	lines, err := Read("aa", strings.NewReader(logs))
	if err != nil || len(lines) != 2 {
		t.Fatalf("got %v, %v, want 2 lines", lines, err)
	}
	if lines[0].Event != "config_in_force" || lines[0].Host != "kgn-1" || lines[1].Request != "aa" {
		t.Fatalf("got %v, want config_in_force of kgn-1, then the line of request aa", lines)
	}
	if text := lines[1].String(); !strings.Contains(text, "status=503") || !strings.Contains(text, "\n    s1 i-1@z entry 4 +0s refused") {
		t.Fatalf("got %q, want the status, and the send on an indented line", text)
	}
}

func TestReadReturnsNothingForUnknownRequest(t *testing.T) {
	if lines, err := Read("zz", strings.NewReader(logs)); err != nil || lines != nil {
		t.Fatalf("got %v, %v, want no lines", lines, err)
	}
}
