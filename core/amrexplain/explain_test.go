package amrexplain_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"amaranthreach.example/core/amrexplain"
	"amaranthreach.example/core/amrmemory"
	"amaranthreach.example/core/amrreason"
)

// TestText compares the texts of the decisions in testdata/text.
func TestText(t *testing.T) {
	datadriven.RunTest(t, "testdata/text", func(t *testing.T, d *datadriven.TestData) string {
		var decision amrexplain.Decision
		if err := json.Unmarshal([]byte(d.Input), &decision); err != nil {
			return err.Error()
		}
		return decision.Text()
	})
}

// refusal returns the decision on a request that was refused without having run.
func refusal(id amrexplain.ID, at time.Time, team string, reason amrreason.Code) amrexplain.Decision {
	return amrexplain.Decision{RequestID: id.String(), Team: team, At: at, Outcome: amrexplain.Refused, Reason: reason, Ran: amrreason.NotRun}
}

// TestID checks that an id is equal to its parsed text, and that malformed ids are
// rejected.
func TestID(t *testing.T) {
	is := is.New(t)
	id := amrexplain.NewIDGenerator("router-1.a", "3fe2").Next(time.Unix(1e9, 0))
	back, err := amrexplain.ParseID(id.String())
	is.NoErr(err)
	is.Equal(back, id)
	for _, bad := range []string{"", "x", "a.b.c", "r.i.!.1", "r.i.1.-"} {
		_, err := amrexplain.ParseID(bad)
		is.True(errorx.IsOfType(err, amrexplain.InvalidID))
	}
}

// TestFind checks that a router finds each decision of a router that has stopped, and
// reports an id without a decision as not found.
func TestFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New()
		ids := amrexplain.NewIDGenerator("router-1", "a1")
		stopped := amrexplain.NewRecorder("router-1", "a1", platform, clock)
		var decisions []amrexplain.Decision
		for i := range 300 {
			d := refusal(ids.Next(clock.Now()), clock.Now().UTC(), fmt.Sprint("team-", i%3), amrreason.TeamLimit)
			stopped.Add(d)
			decisions = append(decisions, d)
			clock.Sleep(time.Second)
		}
		is.NoErr(stopped.Flush(t.Context()))

		other := amrexplain.NewRecorder("router-2", "b1", platform, clock)
		for _, want := range decisions {
			found, err := other.Find(t.Context(), want.RequestID)
			is.NoErr(err)
			is.True(found.At.Equal(want.At))
			is.Equal(found.Team, want.Team)
		}
		_, err := other.Find(t.Context(), ids.Next(clock.Now()).String())
		is.True(errorx.IsOfType(err, amrexplain.NotFound))
	})
}

// TestFindRefusals checks that a router finds the refusals of a router that has
// stopped, by team, reason and time, and reports whether the limit left some out.
func TestFindRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New()
		ids := amrexplain.NewIDGenerator("router-1", "a1")
		stopped := amrexplain.NewRecorder("router-1", "a1", platform, clock)
		start := clock.Now()
		for i := range 60 {
			reason := amrreason.TeamLimit
			if i%2 == 0 {
				reason = amrreason.Overloaded
			}
			stopped.Add(refusal(ids.Next(clock.Now()), clock.Now().UTC(), fmt.Sprint("team-", i%3), reason))
			clock.Sleep(10 * time.Second)
		}
		is.NoErr(stopped.Flush(t.Context()))
		other := amrexplain.NewRecorder("router-2", "b1", platform, clock)

		query := amrexplain.RefusalQuery{Team: "team-0", Reason: amrreason.TeamLimit, Since: start, Until: clock.Now()}
		all, err := other.FindRefusals(t.Context(), query)
		is.NoErr(err)
		is.Equal(len(all.Decisions), 10)
		is.True(all.Complete)
		is.True(all.Decisions[0].At.After(all.Decisions[9].At))

		query.Until = start.Add(5 * time.Minute)
		half, err := other.FindRefusals(t.Context(), query)
		is.NoErr(err)
		is.Equal(len(half.Decisions), 5)
		query.Limit = 2
		few, err := other.FindRefusals(t.Context(), query)
		is.NoErr(err)
		is.Equal(len(few.Decisions), 2)
		is.True(!few.Complete)
	})
}

// TestFindNewestRefusals guards against a search that stops at its limit because the router
// still has older refusals in memory, and leaves out newer ones of other routers.
func TestFindNewestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New()
		start := clock.Now()
		add := func(r *amrexplain.Recorder, ids *amrexplain.IDGenerator, team string) {
			r.Add(refusal(ids.Next(clock.Now()), clock.Now().UTC(), team, amrreason.Overloaded))
		}
		asked, askedIDs := amrexplain.NewRecorder("router-1", "a1", platform, clock), amrexplain.NewIDGenerator("router-1", "a1")
		for range 3 {
			add(asked, askedIDs, "older")
		}
		clock.Sleep(5 * time.Minute)
		other, otherIDs := amrexplain.NewRecorder("router-2", "b1", platform, clock), amrexplain.NewIDGenerator("router-2", "b1")
		for range 2 {
			add(other, otherIDs, "newer")
			clock.Sleep(2 * time.Minute)
		}
		is.NoErr(other.Flush(t.Context()))

		found, err := asked.FindRefusals(t.Context(), amrexplain.RefusalQuery{Since: start, Until: clock.Now(), Limit: 2})
		is.NoErr(err)
		is.Equal(len(found.Decisions), 2)
		for _, d := range found.Decisions {
			is.Equal(d.Team, "newer")
		}
		is.True(!found.Complete)
	})
}

// TestFindManyRefusals guards against a search that reports to be complete although it has
// not read all objects of a minute.
func TestFindManyRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const objects = 1001 // One more than a search reads of a minute.
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New(amrmemory.WithRates(0, 0))
		start := clock.Now()
		ids := amrexplain.NewIDGenerator("router-1", "a1")
		r := amrexplain.NewRecorder("router-1", "a1", platform, clock)
		for range objects {
			r.Add(refusal(ids.Next(start), start.UTC(), "team", amrreason.Overloaded))
			is.NoErr(r.Flush(t.Context()))
		}
		found, err := amrexplain.NewRecorder("router-2", "b1", platform, clock).FindRefusals(t.Context(), amrexplain.RefusalQuery{Since: start, Until: clock.Now()})
		is.NoErr(err)
		is.True(len(found.Decisions) == objects || !found.Complete)
	})
}

// TestOutage checks that a recorder keeps the newest decisions while the object store
// is down, counts those that it drops, and writes the others after the outage.
func TestOutage(t *testing.T) {
	const (
		outage = time.Hour
		rate   = 30 // Requests per second.
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New(amrmemory.WithRates(0, 0))
		platform.SetFaults(amrmemory.Faults{Down: true})
		recorder := amrexplain.NewRecorder("router-1", "a1", platform, clock)
		ids := amrexplain.NewIDGenerator("router-1", "a1")
		var first, last string
		for range int(outage.Seconds()) {
			for range rate {
				last = ids.Next(clock.Now()).String()
				if first == "" {
					first = last
				}
				recorder.Add(amrexplain.Decision{RequestID: last, Outcome: amrexplain.Answered})
			}
			clock.Sleep(time.Second)
		}
		is.True(recorder.Flush(t.Context()) != nil)
		is.Equal(recorder.Dropped()+uint64(recorder.Pending()), uint64(rate*outage.Seconds()))

		platform.SetFaults(amrmemory.Faults{})
		is.NoErr(recorder.Flush(t.Context()))
		is.Equal(recorder.Pending(), 0)
		other := amrexplain.NewRecorder("router-2", "b1", platform, clock)
		_, err := other.Find(t.Context(), last)
		is.NoErr(err)
		_, err = other.Find(t.Context(), first)
		is.True(errorx.IsOfType(err, amrexplain.NotFound))
	})
}

// TestExpire checks that objects are deleted once they are older than Retention, and
// that newer ones are kept.
func TestExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		platform := amrmemory.New()
		recorder := amrexplain.NewRecorder("router-1", "a1", platform, clock)
		ids := amrexplain.NewIDGenerator("router-1", "a1")
		recorder.Add(refusal(ids.Next(clock.Now()), clock.Now(), "a", amrreason.TeamLimit))
		is.NoErr(recorder.Flush(t.Context()))
		clock.Sleep(amrexplain.Retention + time.Hour)
		recorder.Add(refusal(ids.Next(clock.Now()), clock.Now(), "a", amrreason.TeamLimit))
		is.NoErr(recorder.Flush(t.Context()))
		is.NoErr(recorder.Expire(t.Context()))
		for _, prefix := range []string{"explain/", "refused/"} {
			keys, err := platform.ListObjects(t.Context(), prefix, "", 10)
			is.NoErr(err)
			is.Equal(len(keys), 1)
		}
	})
}
