package amrstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"amaranthreach.example/core/amrreason"
)

// TestRelay runs the scripts in testdata. Each command sends an event to a
// Relay and prints the resulting actions. The chunks of each attempt come from
// a Sequencer. With the argument lost, the command chunk takes a chunk from the
// Sequencer but sends no event. The command again repeats the chunk with the
// given sequence number.
func TestRelay(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		relay := NewRelay()
		sequencers := map[int]*Sequencer{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var attempt, seq int
			var text string
			d.MaybeScanArgs(t, "attempt", &attempt)
			d.MaybeScanArgs(t, "text", &text)
			d.MaybeScanArgs(t, "seq", &seq)
			if sequencers[attempt] == nil {
				sequencers[attempt] = NewSequencer(uint32(attempt))
			}
			number := uint32(attempt)
			switch d.Cmd {
			case "new":
				relay = newScriptRelay(t, d)
				sequencers = map[int]*Sequencer{}
				return ""
			case "start":
				return render(relay.Step(Started{Attempt: number}))
			case "chunk":
				chunk := sequencers[attempt].Text(text, 1)
				if d.HasArg("lost") {
					return ""
				}
				return render(relay.Step(Arrived{Chunk: chunk}))
			case "again":
				return render(relay.Step(Arrived{Chunk: Chunk{Attempt: number, Seq: uint64(seq), Text: text}}))
			case "end":
				end := sequencers[attempt].End(Usage{FinishReason: "stop"})
				if d.HasArg("wrong-digest") {
					end.Digest++
				}
				return render(relay.Step(Finished{End: end}))
			case "fail":
				return render(relay.Step(Failed{Attempt: number, Reason: amrreason.EngineLost, Ran: amrreason.RunUnknown}))
			case "not-resumed":
				return render(relay.Step(NotResumed{Reason: amrreason.NoBackendServer, Ran: amrreason.NotRun}))
			case "caller-gone":
				return render(relay.Step(CallerGone{}))
			case "dropped":
				return fmt.Sprintf("%+v\n", relay.Dropped())
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

// newScriptRelay returns a Relay with the options of the command new.
func newScriptRelay(t *testing.T, d *datadriven.TestData) *Relay {
	var opts []RelayOption
	if d.HasArg("once") {
		opts = append(opts, WithoutResume())
	}
	var bytes int
	if d.HasArg("max-text") {
		d.ScanArgs(t, "max-text", &bytes)
		opts = append(opts, WithMaxText(bytes))
	}
	return NewRelay(opts...)
}

// render describes the actions, one on each line.
func render(actions []Action) string {
	var b strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case Emit:
			fmt.Fprintf(&b, "emit %d %s\n", a.Chunk.Seq, a.Chunk.Text)
		case Cancel:
			fmt.Fprintf(&b, "cancel %d\n", a.Attempt)
		case Resume:
			fmt.Fprintf(&b, "resume behind %q, %d tokens\n", a.Text, a.Tokens)
		case Complete:
			fmt.Fprintf(&b, "complete %d chunks, digest %x\n", a.End.Chunks, a.End.Digest)
		case Abort:
			fmt.Fprintf(&b, "abort %s %s\n", a.Reason, a.Ran)
		default:
			fmt.Fprintf(&b, "%T\n", a)
		}
	}
	return b.String()
}
