package amrlimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthreach.example/core/amrlimit"
)

const (
	routers = 12
	step    = 5 * time.Millisecond
)

// fleet is a set of routers whose reports reach the allocators without delay.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	names      []string
	limiters   map[string]*amrlimit.Limiter
	allocators map[string]*amrlimit.Allocator
	stopped    map[string]bool
	messages   int                    // Reports sent.
	entries    int                    // Usages in these reports.
	running    map[time.Time][]string // Names of the routers of the requests that end, by time.
	inFlight   int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		now:        time.Unix(1e9, 0),
		random:     rand.New(rand.NewPCG(seed, 1)),
		limiters:   map[string]*amrlimit.Limiter{},
		allocators: map[string]*amrlimit.Allocator{},
		stopped:    map[string]bool{},
		running:    map[time.Time][]string{},
	}
	for i := range routers {
		f.names = append(f.names, fmt.Sprint("router-", i))
	}
	for _, name := range f.names {
		f.limiters[name] = amrlimit.NewLimiter(name)
		f.limiters[name].SetRouters(f.names)
		f.allocators[name] = &amrlimit.Allocator{}
	}
	return f
}

// tick advances the time by one step, ends requests and delivers the reports
// that are due.
func (f *fleet) tick() {
	f.now = f.now.Add(step)
	for _, name := range f.running[f.now] {
		f.limiters[name].Release("big", 100, 100)
		f.inFlight--
	}
	delete(f.running, f.now)
	for _, name := range f.names {
		if f.stopped[name] {
			continue
		}
		for to, usages := range f.limiters[name].DueReports(f.now) {
			f.messages++
			f.entries += len(usages)
			if f.stopped[to] {
				continue
			}
			f.limiters[name].ApplyGrants(f.now, f.allocators[to].Report(f.now, name, usages))
		}
		f.allocators[name].Expire(f.now)
	}
}

// arrivalRates returns the number of requests per second that arrive at each
// router, for a second of the test.
type arrivalRates func(second int) [routers]float64

// run simulates the time d, in which requests arrive at the given rates. Each
// admitted request lasts for requestDuration. It returns the numbers of requests
// that were admitted and offered, and the largest number that was in flight at
// the same time.
func (f *fleet) run(d time.Duration, limits amrlimit.Amounts, requestDuration time.Duration, rates arrivalRates) (admitted, offered, peakInFlight int) {
	for i := range int(d / step) {
		f.tick()
		for r, rate := range rates(int(time.Duration(i) * step / time.Second)) {
			name := f.names[r]
			if f.stopped[name] || f.random.Float64() >= rate*step.Seconds() {
				continue
			}
			offered++
			if !f.limiters[name].Admit(f.now, "big", limits, 100).Admitted {
				continue
			}
			admitted++
			f.inFlight++
			end := f.now.Add(requestDuration)
			f.running[end] = append(f.running[end], name)
			peakInFlight = max(peakInFlight, f.inFlight)
		}
	}
	return admitted, offered, peakInFlight
}

// skewed returns arrival rates that halve from each router to the next.
func skewed(total float64) arrivalRates {
	return func(int) [routers]float64 {
		var rates [routers]float64
		sum := 0.0
		for i := range rates {
			rates[i] = math.Pow(0.5, float64(i))
			sum += rates[i]
		}
		for i := range rates {
			rates[i] *= total / sum
		}
		return rates
	}
}

// moving returns arrival rates that send most of the requests to one router, and
// to another one every ten seconds.
func moving(total float64) arrivalRates {
	return func(second int) [routers]float64 {
		var rates [routers]float64
		for i := range rates {
			rates[i] = 0.2 * total / (routers - 1)
		}
		rates[second/10%routers] = 0.8 * total
		return rates
	}
}

// TestTotal checks that 12 routers together admit a number of requests within
// 10% of the team's limit in each window of 10 s, however the requests are
// distributed among the routers.
func TestTotal(t *testing.T) {
	const (
		rate      = 100.0
		tokens    = 10000.0 // 100 for each request.
		window    = 10 * time.Second
		tolerance = 0.1
	)
	tests := map[string]struct {
		limits amrlimit.Amounts
		rates  arrivalRates
	}{
		"requests skewed":  {amrlimit.Amounts{amrlimit.Requests: rate}, skewed(3 * rate)},
		"requests moving":  {amrlimit.Amounts{amrlimit.Requests: rate}, moving(3 * rate)},
		"tokens skewed":    {amrlimit.Amounts{amrlimit.Tokens: tokens}, skewed(3 * rate)},
		"just over":        {amrlimit.Amounts{amrlimit.Requests: rate}, skewed(1.3 * rate)},
		"both dimensions":  {amrlimit.Amounts{amrlimit.Requests: rate, amrlimit.Tokens: 2 * tokens}, skewed(3 * rate)},
		"small team":       {amrlimit.Amounts{amrlimit.Requests: 10}, skewed(50)},
		"one router alone": {amrlimit.Amounts{amrlimit.Requests: rate}, func(int) [routers]float64 { return [routers]float64{5: 3 * rate} }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want := rate * window.Seconds()
			if name == "small team" {
				want = 10 * window.Seconds()
			}
			for seed := range uint64(5) {
				f := newFleet(seed)
				for n := range 4 {
					admitted, offered, _ := f.run(window, test.limits, 50*time.Millisecond, func(s int) [routers]float64 { return test.rates(10*n + s) })
					t.Logf("window %d: %d of %d admitted, %.1f%% from the limit", n, admitted, offered, 100*(float64(admitted)/want-1))
					is.True(math.Abs(float64(admitted)/want-1) <= tolerance)
				}
				t.Logf("%.2f reports per router and second", float64(f.messages)/routers/(4*window.Seconds()))
			}
		})
	}
}

// TestConcurrency checks that the number of requests in flight exceeds the limit
// by at most 10% and is on average at least 90% of it.
func TestConcurrency(t *testing.T) {
	const limit = 40
	is := is.New(t)
	f := newFleet(1)
	f.run(5*time.Second, amrlimit.Amounts{amrlimit.Concurrency: limit}, time.Second, skewed(200))
	admitted, _, peakInFlight := f.run(10*time.Second, amrlimit.Amounts{amrlimit.Concurrency: limit}, time.Second, skewed(200))
	t.Logf("%d in flight at most, %.1f on average", peakInFlight, float64(admitted)/10)
	is.True(peakInFlight <= limit+limit/10)
	is.True(float64(admitted)/10 >= limit*0.9)
}

// TestBelowLimit checks that a team well below its limit is refused at most 1% of
// its requests, and that the number of reports decreases with the demand.
func TestBelowLimit(t *testing.T) {
	const seconds = 60
	is := is.New(t)
	limits := amrlimit.Amounts{amrlimit.Requests: 200, amrlimit.Concurrency: 400}
	last := math.Inf(1)
	for _, rate := range []float64{60, 20, 4} {
		f := newFleet(1)
		f.run(5*time.Second, limits, 50*time.Millisecond, skewed(rate))
		admitted, offered, _ := f.run(seconds*time.Second, limits, 50*time.Millisecond, skewed(rate))
		messages := float64(f.messages) / routers / (seconds + 5)
		t.Logf("%v requests/s: %d of %d admitted, %.2f reports per router and second", rate, admitted, offered, messages)
		is.True(float64(admitted) >= 0.99*float64(offered))
		is.True(messages < last)
		last = messages
	}
}

// TestJump checks that a team whose demand rises in a single step from 20% of its
// limit to a multiple of it, at all routers or at one, gets within 10% of its
// limit during the next 10 s.
func TestJump(t *testing.T) {
	const rate = 200.0
	surges := map[string]arrivalRates{
		"everywhere": skewed(3 * rate),
		"one router": func(s int) [routers]float64 {
			rates := skewed(0.2 * rate)(s)
			rates[7] = 3 * rate
			return rates
		},
	}
	for name, surge := range surges {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			limits := amrlimit.Amounts{amrlimit.Requests: rate}
			f.run(60*time.Second, limits, 50*time.Millisecond, skewed(0.2*rate))
			admitted, _, _ := f.run(10*time.Second, limits, 50*time.Millisecond, surge)
			t.Logf("%d admitted, %.1f%% from the limit", admitted, 100*(float64(admitted)/(10*rate)-1))
			is.True(math.Abs(float64(admitted)/(10*rate)-1) <= 0.1)
		})
	}
}

// TestAllocatorFails checks that the total exceeds the limit by at most 10% while
// the allocator of the team has stopped and the other routers do not know it, and
// that it is within 10% of the limit once they have selected another allocator.
func TestAllocatorFails(t *testing.T) {
	const (
		rate      = 100.0
		tolerance = 0.1
	)
	is := is.New(t)
	f := newFleet(1)
	limits := amrlimit.Amounts{amrlimit.Requests: rate}
	f.run(10*time.Second, limits, 50*time.Millisecond, skewed(3*rate))
	stoppedRouter := amrlimit.AllocatorOf("big", f.names)
	f.stopped[stoppedRouter] = true
	withoutAllocator, _, _ := f.run(5*time.Second, limits, 50*time.Millisecond, skewed(3*rate))
	is.True(float64(withoutAllocator) <= 5*rate*(1+tolerance))

	var remaining []string
	for _, name := range f.names {
		if !f.stopped[name] {
			remaining = append(remaining, name)
		}
	}
	for _, name := range remaining {
		f.limiters[name].SetRouters(remaining)
	}
	f.run(10*time.Second, limits, 50*time.Millisecond, skewed(3*rate))
	admitted, _, _ := f.run(10*time.Second, limits, 50*time.Millisecond, skewed(3*rate))
	t.Logf("%d admitted in 5 s without an allocator, %d in 10 s with another allocator", withoutAllocator, admitted)
	is.True(math.Abs(float64(admitted)/(10*rate)-1) <= tolerance)
}

// TestUnlimited checks that a team without limits is never refused and causes no
// reports.
func TestUnlimited(t *testing.T) {
	is := is.New(t)
	l := amrlimit.NewLimiter("router-0")
	for range 1000 {
		is.True(l.Admit(time.Unix(0, 0), "free", amrlimit.Amounts{}, 1).Admitted)
	}
	is.Equal(len(l.DueReports(time.Unix(0, 0))), 0)
}
