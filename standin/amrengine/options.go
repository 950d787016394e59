package amrengine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultModel        = "m1"
	defaultWeights      = "w1"
	defaultRole         = "serve"
	defaultCacheBlocks  = 512
	defaultPrefillRate  = 20000 // Tokens per second.
	defaultDecodeStep   = 30 * time.Millisecond
	defaultBatchLimit   = 32
	defaultQueueLimit   = 4096
	defaultLoadTime     = 500 * time.Millisecond
	defaultAdapterTime  = 100 * time.Millisecond
	defaultDownTime     = 2 * time.Second
	defaultTransferTime = 10 * time.Millisecond // Per block.
)

// WeightStore loads the weights of models.
type WeightStore interface {
	// Load loads a version of the weights and returns when it is loaded. It
	// returns an error if the load fails or ctx is done.
	Load(ctx context.Context, version string) error
}

// Option configures an engine that New creates.
type Option func(*settings)

type settings struct {
	clock         clockwork.Clock
	seed          uint64
	model         string
	weights       string
	role          string
	cacheBlocks   int
	prefillRate   float64
	decodeStep    time.Duration
	batchLimit    int
	queueLimit    int
	flushTokens   int
	eventDelay    time.Duration
	eventLoss     float64
	statusLag     time.Duration
	enforceFences bool
	timeScale     float64
	downTime      time.Duration
	transferTime  time.Duration
	poison        string
	pauseAt       int // Length at which completions pause, in tokens; 0 for no pause.
	weightStore   WeightStore
	directory     *Directory
}

func defaultSettings() settings {
	return settings{
		clock:         clockwork.NewRealClock(),
		seed:          rand.Uint64(),
		model:         defaultModel,
		weights:       defaultWeights,
		role:          defaultRole,
		cacheBlocks:   defaultCacheBlocks,
		prefillRate:   defaultPrefillRate,
		decodeStep:    defaultDecodeStep,
		batchLimit:    defaultBatchLimit,
		queueLimit:    defaultQueueLimit,
		flushTokens:   1,
		timeScale:     1,
		downTime:      defaultDownTime,
		transferTime:  defaultTransferTime,
		enforceFences: true,
	}
}

// WithClock sets the clock. The default is the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// WithSeed sets the seed of the random numbers that determine incarnations and
// lost events. The default is a random seed.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithModel sets the name of the model. The default is m1.
func WithModel(model string) Option {
	return func(s *settings) { s.model = model }
}

// WithWeights sets the version of the weights with which every incarnation
// starts. The default is w1.
func WithWeights(version string) Option {
	return func(s *settings) { s.weights = version }
}

// WithCacheBlocks sets the capacity of the cache in blocks. The default is 512.
func WithCacheBlocks(n int) Option {
	return func(s *settings) { s.cacheBlocks = n }
}

// WithPrefillRate sets the throughput of prefill in tokens per second. The
// default is 20000.
func WithPrefillRate(tokensPerSecond float64) Option {
	return func(s *settings) { s.prefillRate = tokensPerSecond }
}

// WithDecodeStep sets the duration of a decode step, which generates one token
// for each request of the batch. The default is 30 ms.
func WithDecodeStep(d time.Duration) Option {
	return func(s *settings) { s.decodeStep = d }
}

// WithBatchLimit sets the maximum number of requests in prefill or decode at
// the same time. The default is 32.
func WithBatchLimit(n int) Option {
	return func(s *settings) { s.batchLimit = n }
}

// WithQueueLimit sets the maximum number of waiting requests. Requests beyond
// it are rejected with status 503. The default is 4096.
func WithQueueLimit(n int) Option {
	return func(s *settings) { s.queueLimit = n }
}

// WithFlushTokens sets how many tokens of a stream are sent together. The first
// token is always sent on its own. The default is 1.
func WithFlushTokens(n int) Option {
	return func(s *settings) { s.flushTokens = max(1, n) }
}

// WithEventDelay sets the time between a change of the cache and the
// publication of its event. The default is 0.
func WithEventDelay(d time.Duration) Option {
	return func(s *settings) { s.eventDelay = d }
}

// WithEventLoss sets the fraction of cache events, from 0 to 1, that are lost.
// The default is 0.
func WithEventLoss(fraction float64) Option {
	return func(s *settings) { s.eventLoss = fraction }
}

// WithStatusLag sets the age of the status that the engine reports. The default
// is 0.
func WithStatusLag(d time.Duration) Option {
	return func(s *settings) { s.statusLag = d }
}

// WithFences sets whether the engine rejects an order with a lower fence than
// an earlier order had. The default is true.
func WithFences(enforced bool) Option {
	return func(s *settings) { s.enforceFences = enforced }
}

// WithTimeScale sets the number by which all simulated durations of the engine
// are divided, except those of a weight store. The default is 1.
func WithTimeScale(scale float64) Option {
	return func(s *settings) { s.timeScale = scale }
}

// WithDownTime sets how long the engine stays down after a crash. With 0 it
// stays down until Restart is called. The default is 2 seconds.
func WithDownTime(d time.Duration) Option {
	return func(s *settings) { s.downTime = d }
}

// WithTransferTime sets the duration of the import of a block. The default is
// 10 ms.
func WithTransferTime(d time.Duration) Option {
	return func(s *settings) { s.transferTime = d }
}

// WithPoison sets a text that crashes the engine at the end of the prefill of
// any prompt that contains it. By default no text does.
func WithPoison(text string) Option {
	return func(s *settings) { s.poison = text }
}

// WithWeightStore sets the store from which the engine loads weights. Without a
// store each load takes 500 ms.
func WithWeightStore(store WeightStore) Option {
	return func(s *settings) { s.weightStore = store }
}

// WithDirectory makes the engine record its cached blocks in a directory, which
// several engines may share.
func WithDirectory(d *Directory) Option {
	return func(s *settings) { s.directory = d }
}

// scaled returns d divided by the time scale.
func (s settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.timeScale)
}

// prefillTime returns the duration of the prefill of the given number of tokens.
func (s settings) prefillTime(tokens int) time.Duration {
	return s.scaled(time.Duration(float64(tokens) / s.prefillRate * float64(time.Second)))
}
