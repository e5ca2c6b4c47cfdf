package claim

import (
	"testing"

	"github.com/godwithatch/godwithatch/tests/standin/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
