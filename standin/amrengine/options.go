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
	defaultTransferTime = 10 * time.Millisecond // For each block.
)

// WeightStore is where an engine loads weights from.
type WeightStore interface {
	// Load returns when the weights have been loaded.
	Load(ctx context.Context, version string) error
}

// Option changes a setting of an engine.
type Option func(*settings)

type settings struct {
	clock        clockwork.Clock
	seed         uint64
	model        string
	weights      string
	role         string
	cacheBlocks  int
	prefillRate  float64
	decodeStep   time.Duration
	batchLimit   int
	queueLimit   int
	flushTokens  int
	eventDelay   time.Duration
	eventLoss    float64
	statusLag    time.Duration
	fences       bool
	timeScale    float64
	downTime     time.Duration
	transferTime time.Duration
	poison       string
	pauseAt      int // In tokens; 0 for no pause.
	weightStore  WeightStore
	directory    *Directory
}

func defaultSettings() settings {
	return settings{
		clock:        clockwork.NewRealClock(),
		seed:         rand.Uint64(),
		model:        defaultModel,
		weights:      defaultWeights,
		role:         defaultRole,
		cacheBlocks:  defaultCacheBlocks,
		prefillRate:  defaultPrefillRate,
		decodeStep:   defaultDecodeStep,
		batchLimit:   defaultBatchLimit,
		queueLimit:   defaultQueueLimit,
		flushTokens:  1,
		timeScale:    1,
		downTime:     defaultDownTime,
		transferTime: defaultTransferTime,
		fences:       true,
	}
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// WithSeed sets the seed of incarnations and lost events.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithModel sets the name of the model.
func WithModel(model string) Option {
	return func(s *settings) { s.model = model }
}

// WithWeights sets the version of the weights that the engine boots with.
func WithWeights(version string) Option {
	return func(s *settings) { s.weights = version }
}

// WithCacheBlocks sets the capacity of the cache in blocks.
func WithCacheBlocks(n int) Option {
	return func(s *settings) { s.cacheBlocks = n }
}

// WithPrefillRate sets the speed of prefill in tokens per second.
func WithPrefillRate(tokensPerSecond float64) Option {
	return func(s *settings) { s.prefillRate = tokensPerSecond }
}

// WithDecodeStep sets the time of a step that generates one token for each
// request of the batch.
func WithDecodeStep(d time.Duration) Option {
	return func(s *settings) { s.decodeStep = d }
}

// WithBatchLimit sets how many requests are in prefill or decode at once.
func WithBatchLimit(n int) Option {
	return func(s *settings) { s.batchLimit = n }
}

// WithQueueLimit sets how many requests wait before others get status 503.
func WithQueueLimit(n int) Option {
	return func(s *settings) { s.queueLimit = n }
}

// WithFlushTokens sets how many tokens of a stream are sent together after
// the first, which is sent at once.
func WithFlushTokens(n int) Option {
	return func(s *settings) { s.flushTokens = max(1, n) }
}

// WithEventDelay sets how late cache events are published.
func WithEventDelay(d time.Duration) Option {
	return func(s *settings) { s.eventDelay = d }
}

// WithEventLoss sets the share of cache events that are lost.
func WithEventLoss(fraction float64) Option {
	return func(s *settings) { s.eventLoss = fraction }
}

// WithStatusLag sets how far status lags behind.
func WithStatusLag(d time.Duration) Option {
	return func(s *settings) { s.statusLag = d }
}

// WithFences sets whether orders with an older fence are refused.
func WithFences(honoured bool) Option {
	return func(s *settings) { s.fences = honoured }
}

// WithTimeScale divides all durations of the engine.
func WithTimeScale(scale float64) Option {
	return func(s *settings) { s.timeScale = scale }
}

// WithDownTime sets how long the engine stays down after a crash; 0 keeps it
// down until Restart.
func WithDownTime(d time.Duration) Option {
	return func(s *settings) { s.downTime = d }
}

// WithTransferTime sets how long the import of a block takes.
func WithTransferTime(d time.Duration) Option {
	return func(s *settings) { s.transferTime = d }
}

// WithPoison sets a text that crashes the engine when it is in a prompt.
func WithPoison(text string) Option {
	return func(s *settings) { s.poison = text }
}

// WithWeightStore sets where weights are loaded from. Without one each load
// takes 500 ms.
func WithWeightStore(store WeightStore) Option {
	return func(s *settings) { s.weightStore = store }
}

// WithDirectory makes the engine note its cached blocks in a directory.
func WithDirectory(d *Directory) Option {
	return func(s *settings) { s.directory = d }
}

func (s settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.timeScale)
}

func (s settings) prefillTime(tokens int) time.Duration {
	return s.scaled(time.Duration(float64(tokens) / s.prefillRate * float64(time.Second)))
}
