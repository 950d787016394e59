package amrbytes_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrbytes"
)

// TestAccount runs the scripts of testdata with these commands, where sizes are in KiB:
//
//	account BOUND
//	open NAME=SIZE       prints "refused" if the request is refused
//	add NAME=SIZE        prints "not counted" if the holder is broken off
//	event NAME=SIZE      the same for an incomplete event
//	end-event NAME=SIZE
//	ahead NAME=SIZE      prints "not counted" beyond a limit
//	release NAME=SIZE    of what was read ahead
//	close NAME
//
// Each command also prints the requests that it breaks off, and the held bytes. The
// scripts guard against sums that drift, a bound that is exceeded, and small holders that
// are broken off before large ones.
func TestAccount(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &accountScript{holders: make(map[string]*amrbytes.Holder)}
		datadriven.RunTest(t, path, s.run)
	})
}

type accountScript struct {
	account *amrbytes.Account
	holders map[string]*amrbytes.Holder
	broken  []string
}

func (s *accountScript) run(t *testing.T, d *datadriven.TestData) string {
	s.broken = nil
	name, size := d.CmdArgs[0].Key, int64(0)
	if len(d.CmdArgs[0].Vals) > 0 {
		d.ScanArgs(t, name, &size)
		size <<= 10
	}
	outcome := ""
	switch d.Cmd {
	case "account":
		d.ScanArgs(t, "bound", &size)
		s.account = amrbytes.New(size << 10)
	case "open":
		s.holders[name] = s.account.Open(size, func() { s.broken = append(s.broken, name) })
		if s.holders[name] == nil {
			outcome = "refused, "
		}
	case "add":
		if !s.holders[name].Add(size) {
			outcome = "not counted, "
		}
	case "event":
		if !s.holders[name].AddEvent(size) {
			outcome = "not counted, "
		}
	case "end-event":
		s.holders[name].ReleaseEvent(size)
	case "ahead":
		if !s.holders[name].TryAhead(size) {
			outcome = "not counted, "
		}
	case "release":
		s.holders[name].ReleaseAhead(size)
	case "close":
		s.holders[name].Close()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	slices.Sort(s.broken)
	if len(s.broken) > 0 {
		outcome += "breaks off " + strings.Join(s.broken, " ") + ", "
	}
	stats := s.account.Stats()
	return fmt.Sprintf("%sheld %d of %d, %d refused, %d broken off", outcome, stats.Held>>10, stats.Bound>>10, stats.Refusals, stats.Breaks)
}
