package amrsoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthreach.example/standin/amrpace"
	"amaranthreach.example/standin/amrsite"
)

const (
	keptConnPromise = "requests that arrive are answered"

	keptConns     = 40                     // Number of clients with a connection that they keep, for each router.
	maxIdleShare  = 0.8                    // Longest pause of such a client as a share of the least idle timeout.
	maxKeptBody   = 200 << 10              // Largest body of their requests, in bytes.
	bodyShare     = 0.3                    // Share of their requests with a body.
	firstPart     = 40                     // Number of bytes of a request that is sent in two parts, that are sent first.
	splitShare    = 0.2                    // Share of such requests.
	splitPause    = 30 * time.Millisecond  // Longest pause between the parts.
	crossTime     = 200 * time.Millisecond // Time from the last byte of a request within which a stop may close its connection unread.
	redialPause   = 100 * time.Millisecond // Pause after a connection could not be made.
	keptIDPrefix  = "kept"
	answerTimeout = requestTimeout + callerTimeoutMargin
)

// keepConns sends requests to the router on connections of its own that are kept, without a
// proxy, until ctx is done. Between two requests a connection is idle for up to maxIdleShare of
// the least idle timeout. It reports each request that gets neither an answer nor a refusal
// although it has arrived at a running router.
func (s *site) keepConns(ctx context.Context, r *router, seed uint64) error {
	var group errgroup.Group
	for i := range keptConns {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() error {
			k := &keptConn{site: s, router: r, random: random, name: fmt.Sprintf("%s-%s-%d", keptIDPrefix, r.name, i)}
			k.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// keptConn is a client with one connection to a router.
type keptConn struct {
	site   *site
	router *router
	random *rand.Rand
	name   string
	sent   int // Number of requests.

	conn   net.Conn // Nil if there is none.
	reader *bufio.Reader
}

// run sends requests until ctx is done.
func (k *keptConn) run(ctx context.Context) {
	defer k.hangUp()
	for ctx.Err() == nil {
		if k.conn == nil && !k.dial() {
			_ = amrpace.SleepUntil(ctx, k.site.clock, k.site.clock.Now().Add(redialPause)) // If ctx is done, the loop ends.
			continue
		}
		k.request()
		idle := time.Duration(k.random.Float64() * maxIdleShare * float64(leastIdleTimeout))
		_ = amrpace.SleepUntil(ctx, k.site.clock, k.site.clock.Now().Add(idle))
		if k.conn != nil && k.isClosed() {
			k.hangUp()
		}
	}
}

// dial connects to the router, and reports whether it could.
func (k *keptConn) dial() bool {
	conn, err := net.DialTimeout("tcp", k.router.direct, redialPause)
	if err != nil {
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

// hangUp closes the connection if there is one.
func (k *keptConn) hangUp() {
	if k.conn != nil {
		_ = k.conn.Close() // Nothing depends on it.
		k.conn = nil
	}
}

// isClosed reports whether the router has closed the connection.
func (k *keptConn) isClosed() bool {
	_ = k.conn.SetReadDeadline(k.site.clock.Now().Add(time.Millisecond))
	_, err := k.reader.Peek(1)
	_ = k.conn.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// request sends a request and reads the answer.
func (k *keptConn) request() {
	k.sent++
	request := amrsite.Request{ID: fmt.Sprintf("%s-%d", k.name, k.sent), Route: amrsite.IdempotentRoute, Key: permanentKey, Timeout: requestTimeout}
	if k.random.Float64() < bodyShare {
		request.UploadBytes = 1 + k.random.IntN(maxKeptBody)
	}
	tracked := k.site.checker.recordSend(request, k.router.name)
	began := k.site.clock.Now()
	complete, err := k.write(request)
	sent := k.site.clock.Now()
	if err == nil {
		_ = k.conn.SetReadDeadline(sent.Add(answerTimeout))
		err = k.read()
	}
	k.site.checker.countKept(err == nil)
	if err == nil {
		return
	}
	k.hangUp()
	if complete || errors.Is(err, syscall.ECONNRESET) {
		k.site.checker.checkKept(tracked, began, sent, err)
	}
}

// write writes the request, some in two parts, and reports whether it was written whole.
func (k *keptConn) write(request amrsite.Request) (complete bool, err error) {
	wire, err := request.NewHTTPRequest(context.Background(), k.router.direct)
	if err != nil {
		return false, err
	}
	var buffer bytes.Buffer
	if err := wire.Write(&buffer); err != nil {
		return false, err
	}
	data := buffer.Bytes()
	if k.random.Float64() < splitShare {
		if _, err := k.conn.Write(data[:firstPart]); err != nil {
			return false, err
		}
		k.site.clock.Sleep(time.Duration(k.random.Float64() * float64(splitPause)))
		data = data[firstPart:]
	}
	_, err = k.conn.Write(data)
	return err == nil, err
}

// read reads the answer. The connection is closed if the router wants that.
func (k *keptConn) read() error {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.Close {
		k.hangUp()
	}
	return err
}

// countKept counts a request on a kept connection, and whether it got an answer or a refusal.
func (c *Checker) countKept(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept.all++
	if answered {
		c.kept.served++
	}
}

// checkKept reports a request without an answer unless its router was killed, or was stopped and
// closed the connection while the request was on its way.
func (c *Checker) checkKept(tracked *trackedRequest, began, sent time.Time, err error) {
	now := c.clock.Now()
	stopping := !c.disturbances.undisturbedAlone(gonePrefix+tracked.router, began.Add(-crossTime), now)
	killed := !c.disturbances.undisturbedAlone(killPrefix+tracked.router, began.Add(-crossTime), now)
	crossed := stopping && now.Sub(sent) < crossTime
	if killed || crossed {
		return
	}
	c.Report(keptConnPromise, "%s got no answer, %v after its last byte was sent to %s, stopping: %v: %v", tracked.request.ID, now.Sub(sent), tracked.router, stopping, err)
}
