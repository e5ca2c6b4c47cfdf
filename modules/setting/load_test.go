package setting

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func exampleSettings(t testing.TB) string {
	text, err := os.ReadFile("../../custom/conf/app.example.ini")
	if err != nil {
		t.Fatal(err)
	}
	key := t.TempDir() + "/key"
	if err := os.WriteFile(key, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("custom/conf/ca.pem", key, "custom/conf/kingston-1.pem", key, "custom/conf/kingston-1.key", key).Replace(string(text))
}

func TestParseAcceptsExampleFile(t *testing.T) {
	cfg, err := Parse("example", []byte(exampleSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Host() != "kingston-1" || cfg.Caller().MaxBody() != 1<<20 {
		t.Fatalf("%+v", cfg)
	}
}

// TestParseReportsAllFaults parses a file with several faults. Each fault must be
// reported with its section, key and line.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer(
		"ID = kingston-1", "ID = Kingston 1",
		"MAX_BODY = 1MiB", "MAX_BODY = 1000",
		"HEARTBEAT = 1s", "HEARTBEAT = 1",
		"LISTEN = 127.1.0.1:8081", "LISTEN = 0.0.0.0:8081",
		"HEDGE_SHARE = 0.02", "HEDGE_SHARE = 2",
		"LEVEL = info", "LEVEL = loud",
		"POLL = 10s", "POL = 10s",
	).Replace(exampleSettings(t))
	_, err := Parse("faulty", []byte(text))
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	want := map[string]bool{"host ID": true, "caller MAX_BODY": true, "peer HEARTBEAT": true, "operator LISTEN": true, "balance HEDGE_SHARE": true, "log LEVEL": true, "platform POL": true}
	for _, f := range faults {
		if !want[f.Section+" "+f.Key] || f.Line == 0 {
			t.Errorf("unexpected fault, or fault without line number: %v", f)
		}
		delete(want, f.Section+" "+f.Key)
	}
	if len(want) > 0 {
		t.Errorf("faults not reported: %v", want)
	}
}

func TestCheckTogetherReportsSharedIdentityAndAddresses(t *testing.T) {
	a, err := Parse("a", []byte(exampleSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	if faults := CheckTogether([]*Settings{a, a}); len(faults) != 4 {
		t.Fatalf("want 4 faults for the shared identity and three shared addresses, got %v", faults)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(exampleSettings(f))
	f.Add("[host]\nID=\n[[x\n=\n")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse("fuzz", []byte(text))
		var faults Faults
		if (cfg == nil) != errors.As(err, &faults) {
			t.Fatalf("Parse returned both settings and faults, or neither: %v", err)
		}
	})
}
