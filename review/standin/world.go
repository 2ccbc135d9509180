package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"ibisfold.example/core/segment"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// opening is an opening packet that an endpoint took and whose flow opened there.
type opening struct {
	key      segment.Key
	sent     time.Time
	arrived  time.Time
	endpoint *endpoint
	entry    *machine
}

// world is a small deployment on loopback: the frontends' and side machines' processes are
// real, everything else is a stand-in.
type world struct {
	network      network
	dir          string
	store        *store
	storeAddress netip.AddrPort
	machines     []*machine
	seeds        []*machine
	endpoints    []*endpoint
	routers      routers
	began        time.Time
	trouble      bool
	done         chan struct{}

	mu         sync.Mutex
	out        *bufio.Writer
	violations map[string]int
	synSent    map[segment.Key]time.Time
	synTaken   map[segment.Key]time.Time
	firstEntry map[segment.Key]*machine
	openings   []opening
	runs       map[string]int
	counts     struct{ sent, answered, resets int }
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ibisfold-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir:        dir,
		store:      newStore(),
		began:      time.Now(),
		trouble:    os.Getenv("TROUBLE") != "0",
		done:       make(chan struct{}),
		out:        bufio.NewWriter(f),
		violations: map[string]int{},
		synSent:    map[segment.Key]time.Time{},
		synTaken:   map[segment.Key]time.Time{},
		firstEntry: map[segment.Key]*machine{},
		runs:       map[string]int{},
	}
	w.routers.rotation = map[*machine]bool{}
	w.routers.misses = map[*machine]int{}
	if w.routers.conn, err = net.ListenUDP("udp4", &net.UDPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	}); err != nil {
		return nil, err
	}
	w.chooseNetwork()

	return w, w.serveStore()
}

// chooseNetwork picks loopback addresses and ports that no other process uses.
func (w *world) chooseNetwork() {
	for {
		w.network = network{
			octet: byte(20 + 2*rand.IntN(100)),
			port:  uint16(20000 + 40*rand.IntN(300)),
		}
		free := true
		for offset := range uint16(offsetInternal + 16) {
			l, err := net.Listen("tcp4", w.network.machine(0, 1, offset).String())
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return
		}
	}
}

func (w *world) serveStore() error {
	w.storeAddress = w.network.machine(200, 1, offsetStore)
	l, err := net.Listen("tcp4", w.storeAddress.String())
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(l, w.store)
	}()
	go func() {
		for {
			select {
			case <-time.After(100 * time.Millisecond):
				w.store.expire()
			case <-w.done:
				return
			}
		}
	}()

	return nil
}

// addFrontend adds a frontend; seed makes its address one of the seeds.
func (w *world) addFrontend(zone, index int, seed bool) *machine {
	m := &machine{
		world:     w,
		name:      fmt.Sprintf("frontend-%s-%d", zones[zone], index),
		zone:      zone,
		index:     index,
		bootstrap: true,
	}
	w.machines = append(w.machines, m)
	w.routers.mu.Lock()
	w.routers.entries = append(w.routers.entries, m)
	w.routers.misses[m] = 2
	w.routers.mu.Unlock()
	if seed {
		w.seeds = append(w.seeds, m)
	}

	return m
}

// addSide adds a side machine without starting its endpoint.
func (w *world) addSide(zone, index int, service string) *machine {
	m := &machine{
		world:     w,
		name:      fmt.Sprintf("side-%s-%d", zones[zone], index),
		zone:      zone,
		index:     index,
		side:      true,
		service:   service,
		bootstrap: true,
	}
	w.machines = append(w.machines, m)

	return m
}

// addEndpoint starts an endpoint on a side machine.
func (w *world) addEndpoint(m *machine, id string, clockError time.Duration) (*endpoint, error) {
	e, err := startEndpoint(m, id, clockError)
	if err == nil {
		w.endpoints = append(w.endpoints, e)
	}

	return e, err
}

// start starts the processes of all machines and the readiness calls.
func (w *world) start() error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	go w.routers.poll(w.done)

	return nil
}

// stop ends all processes and endpoints and closes the record.
func (w *world) stop() {
	close(w.done)
	for _, m := range w.machines {
		m.stop()
	}
	for _, e := range w.endpoints {
		e.stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// route is a route of the operator's configuration.
type route struct {
	address netip.AddrPort
	service string
	timeout int
}

// coldPerS is the rate that a cold endpoint bears, in requests per second.
const coldPerS = 40

// writeConfig writes a version of the configuration and reports whether the store took it.
func (w *world) writeConfig(version int, routes []route, services []string) bool {
	type jsonRoute struct {
		Name, Host, Prefix, RouteType string
		TimeoutMs, TargetLatencyMs    int
		Priority                      int
		Service                       string
		MaxAttempts                   int
	}
	type jsonService struct {
		Name, HealthPath string
		MaxConns         int
		Protocol         string
		TLS              bool `json:"Tls"`
		ColdStartS       float64
		ColdPerS         float64
	}
	v := struct {
		Version  int
		Routes   []jsonRoute
		Services []jsonService
		Limits   struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }
	}{
		Version: version,
	}
	for _, r := range routes {
		v.Routes = append(v.Routes, jsonRoute{
			Name:            "r-" + r.address.Addr().String(),
			Host:            r.address.Addr().String(),
			Prefix:          fmt.Sprintf("/%d/", r.address.Port()),
			RouteType:       "non_idempotent",
			TimeoutMs:       r.timeout,
			TargetLatencyMs: 300,
			Priority:        1,
			Service:         r.service,
			MaxAttempts:     2,
		})
	}
	for _, s := range services {
		v.Services = append(v.Services, jsonService{
			Name:       s,
			HealthPath: "/health",
			MaxConns:   2000,
			Protocol:   "h1",
			ColdStartS: 2,
			ColdPerS:   coldPerS,
		})
	}
	v.Limits.MaxHeaderBytes = 16384
	v.Limits.MaxBodyBytes = 262144
	v.Limits.HeaderTimeoutMs = 3000
	v.Limits.IdleTimeoutMs = 15000
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	revision, ok := w.store.put("op/config", b)
	w.record("operator writes op/config version %d: accepted %v, revision %d", version, ok, revision)

	return ok
}

// record adds a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

// line adds a line to the record. The caller holds mu.
func (w *world) line(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.out, format+"\n", args...)
}

func (w *world) violate(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations[rule]++
	w.line("BROKEN "+rule+": "+format, args...)
}

func (w *world) sentSYN(k segment.Key, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.synSent[k] = at
}

func (w *world) through(k segment.Key, m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstEntry[k] = m
}

func (w *world) tookSYN(e *endpoint, k segment.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.synSent[k]; !ok {
		w.violations["UNASKED"]++
		w.line("BROKEN UNASKED: endpoint %s got a SYN of %v that no client sent", e.id, k)
	}
	w.synTaken[k] = time.Now()
}

func (w *world) opened(e *endpoint, k segment.Key, _ uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.firstEntry[k]
	name := "no frontend"
	if m != nil {
		name = m.name
	}
	w.line("flow     %v opens at %s of %s in %s, SYN through %s", k, e.id, e.machine.service, zones[e.machine.zone], name)
	w.openings = append(w.openings, opening{
		key:      k,
		sent:     w.synSent[k],
		arrived:  w.synTaken[k],
		endpoint: e,
		entry:    m,
	})
}

func (w *world) sent(k segment.Key, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.sent++
	w.line("sent     %s on %v", id, k)
}

func (w *world) ran(e *endpoint, k segment.Key, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.line("ran      %s at %s on %v", id, e.id, k)
	if w.runs[id] > 1 {
		w.violations["TWICE"]++
		w.line("BROKEN request %s ran %d times", id, w.runs[id])
	}
}

func (w *world) answered(k segment.Key, id, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.answered++
	w.line("answered %s on %v", id, k)
	if !checkAnswer(answer, id) {
		w.violations["MIXED"]++
		w.line("BROKEN MIXED: %s was answered with %q", id, answer)
	}
}

// wasReset checks whether a living endpoint still holds a flow that was reset.
func (w *world) wasReset(f *clientFlow, id string) {
	holder := (*endpoint)(nil)
	for _, e := range w.endpoints {
		if e.holds(f.key, f.serverSeq) {
			holder = e
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.resets++
	w.line("reset    %v while %s was unanswered", f.key, id)
	if holder != nil && countsAsReset(id) {
		w.violations["FLOW"]++
		w.line("BROKEN FLOW: %v was reset while %s holds it", f.key, holder.id)
	}
}
