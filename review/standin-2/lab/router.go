package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Router is a process of the program of the deploy file, on a loopback address of its own.
type Router struct {
	Name     string
	IP       string
	Front    string // Address for callers.
	ready    string
	settings string
	dir      string
	record   *Record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool // The process must not end by itself.
	Exits   int  // How often it ended by itself.
}

// Fields are the fields of the settings that the platform fills into the template.
type Fields map[string]any

// freeIP returns a loopback address on which the ports of a machine are free.
func freeIP(n int) string {
	for try := 0; ; try++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+try%250, 10+n)
		l, err := net.Listen("tcp", ip+":9102")
		if err == nil {
			_ = l.Close()
			return ip
		}
		if try > 200 {
			Fail("no loopback address is free: %v", err)
		}
	}
}

// portsOfRouter is how many ports a router gets.
const portsOfRouter = 20

// freePorts returns the first of portsOfRouter ports in a row that are free on the address. They lie
// below those that the system gives to outgoing connections.
func freePorts(ip string) int {
	for first := 20000; first < 30000; first += portsOfRouter {
		if areFree(ip, first) {
			return first
		}
	}
	Fail("no ports are free on %s", ip)
	return 0
}

func areFree(ip string, first int) bool {
	for i := range portsOfRouter {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
		if err != nil {
			return false
		}
		defer l.Close()
	}
	return true
}

var (
	allMu   sync.Mutex
	all     []*Router // Routers of this case.
	tempDir string
)

// longestRun is the time after which a case is ended.
const longestRun = 105 * time.Second

// TempDir returns a folder that Exit removes. It is called once, before routers are created.
func TempDir() string {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Fail("%v", err)
	}
	tempDir = dir
	time.AfterFunc(longestRun, func() { Fail("it takes longer than %v", longestRun) })
	return dir
}

// Exit ends all routers and then this process.
func Exit(code int) {
	allMu.Lock()
	defer allMu.Unlock()
	for _, r := range all {
		r.Stop()
	}
	if tempDir != "" {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(tempDir)
		}
	}
	os.Exit(code)
}

// Fail ends the process with 2, since the case could not run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	Exit(2)
}

// NewRouter writes the settings of a router from the template of the deploy file. The
// bounds are those of the site mandacaru-ops. Nothing is started.
func NewRouter(n int, name, zone, store, dir string, seeds []string, record *Record) *Router {
	ip := freeIP(n)
	front := freePorts(ip)
	ready, control, notices := front+1, front+2, front+3
	r := &Router{Name: name, IP: ip, dir: dir, record: record}
	r.Front = fmt.Sprintf("%s:%d", ip, front)
	r.ready = fmt.Sprintf("%s:%d", ip, ready)
	control1 := fmt.Sprintf("%s:%d", ip, control)
	fields := Fields{
		"node": name, "zone": zone, "ip": ip,
		"listen":    Fields{"front": r.Front, "ready": r.ready, "control": control1},
		"portRange": []any{notices, notices + 15},
		"seeds":     append([]string{control1}, seeds...),
		"limits":    Fields{"cpuShare": 0.304, "memoryMb": 134, "linkMbps": 1000.0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"bounds": Fields{
			"contactMs": 3000, "graceS": 8, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
			"leaseMs": LeaseMs, "versionMs": 8000,
		},
		"provider": Fields{"addr": store},
	}
	allMu.Lock()
	all = append(all, r)
	allMu.Unlock()
	template, err := os.ReadFile("deploy/front.yaml")
	if err != nil {
		Fail("%v", err)
	}
	r.settings = filepath.Join(dir, name+".conf")
	if err := os.WriteFile(r.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		Fail("%v", err)
	}
	return r
}

// Control returns the address at which other routers reach this one.
func (r *Router) Control() string {
	data, _ := os.ReadFile(r.settings)
	return regexp.MustCompile(`peers-address: "([^"]+)"`).FindStringSubmatch(string(data))[1]
}

// LeaseMs is the time within which two holders must not take turns.
const LeaseMs = 3000

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills the template, as far as deploy/front.yaml uses its language.
func render(template string, fields Fields) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if m[2] == "" {
			if v == nil {
				return ""
			}
			return fmt.Sprint(v)
		}
		data, err := json.Marshal(v)
		if err != nil {
			Fail("%v", err)
		}
		return string(data)
	})
}

func lookUp(fields Fields, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch known := v.(type) {
		case Fields:
			v = known[name]
		case []any:
			v = known[int(name[0]-'0')]
		default:
			return nil
		}
	}
	return v
}

// Program returns the program of the role in the deploy file.
func Program() string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		Fail("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(string(data))
	if m == nil {
		Fail("deploy/system.toml has no role")
	}
	return m[1]
}

// Start starts the process.
func (r *Router) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	words := strings.Fields(Program())
	c := exec.Command(words[0], words[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "AMARANTHREACH_BOOT=" + r.settings}
	log, err := os.OpenFile(filepath.Join(r.dir, r.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		Fail("%v", err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		Fail("%v", err)
	}
	r.command, r.ended, r.wanted = c, make(chan struct{}), true
	r.record.Add("process of %s started", r.Name)
	ended := r.ended
	go func() {
		err := c.Wait()
		_ = log.Close()
		r.mu.Lock()
		if r.wanted && r.command == c {
			r.Exits++
			r.record.Add("process of %s ended by itself: %v", r.Name, err)
		}
		r.mu.Unlock()
		close(ended)
	}()
}

// Signal sends a signal. After SIGKILL or SIGTERM the process may end.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		r.wanted = false
	}
	c := r.command
	r.mu.Unlock()
	if c != nil {
		r.record.Add("%v to %s", s, r.Name)
		_ = c.Process.Signal(s)
	}
}

// Wait waits until the process has ended.
func (r *Router) Wait() {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// IsReady asks the router whether it is ready.
func (r *Router) IsReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + r.ready + "/amaranthreach/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the router is ready.
func (r *Router) AwaitReady() {
	for range 500 {
		if r.IsReady() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(r.dir, r.Name+".log"))
	Fail("%s is not ready; the end of its log: %s", r.Name, log[max(0, len(log)-2000):])
}

// Stop kills the process, if it runs, and waits for its end.
func (r *Router) Stop() {
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	default:
		r.Signal(syscall.SIGKILL)
		r.Wait()
	}
}

// Log returns the lines of the router's log that contain the text.
func (r *Router) Log(text string) []string {
	data, _ := os.ReadFile(filepath.Join(r.dir, r.Name+".log"))
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}
