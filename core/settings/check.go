package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/juju/errors"

	"ibisfold.example/core/document"
	"ibisfold.example/core/keyring"
)

// Limits of settings.
const (
	// MaxThreads is the maximum of Entry.Threads.
	MaxThreads = 256
	// MaxStopTimeout is the maximum of Process.StopTimeout.
	MaxStopTimeout = 10 * time.Minute
	// MaxSeeds is the maximum number of seeds, well above the 16 peers that a
	// process keeps.
	MaxSeeds = 256
)

func checkEntry(c *document.Checker, e *Entry) {
	checkProcess(c, &e.Process)
	c.Address("Callers", e.Callers)
	c.Range("Threads", e.Threads, 0, MaxThreads)
	checkDistinct(c, "Callers", e.Callers, "Listen", e.Listen)
	checkDistinct(c, "Callers", e.Callers, "HTTP", e.HTTP)
}

func checkAgent(c *document.Checker, a *Agent) {
	checkProcess(c, &a.Process)
	c.Name("Name", a.Name)
	c.Address("Target", a.Target)
	checkDistinct(c, "Target", a.Target, "Listen", a.Listen)
	checkDistinct(c, "Target", a.Target, "HTTP", a.HTTP)
}

func checkProcess(c *document.Checker, p *Process) {
	c.Name("Zone", p.Zone)
	c.Address("Listen", p.Listen)
	if p.Advertise.IsValid() {
		c.Address("Advertise", p.Advertise)
	}
	c.Address("HTTP", p.HTTP)
	checkDistinct(c, "HTTP", p.HTTP, "Listen", p.Listen)
	checkURL(c, "Consul", p.Consul)
	checkSeeds(c, p.Seeds)
	checkKeys(c, p.Keys)
	if p.StopTimeout < 0 || p.StopTimeout > MaxStopTimeout {
		c.Add("StopTimeout", document.CodeOutOfRange, "%v is not between 0s and %v", p.StopTimeout, MaxStopTimeout)
	}
}

// checkDistinct reports the field at path if its address a equals b, the address
// of the field other.
func checkDistinct(c *document.Checker, path string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		c.Add(path, document.CodeAddressTaken, "address %v is also that of %s", a, other)
	}
}

// checkURL checks that s is an HTTP or HTTPS base URL.
func checkURL(c *document.Checker, path, s string) {
	if s == "" {
		c.Add(path, document.CodeMissing, "URL is missing")

		return
	}
	u, err := url.Parse(s)
	if err != nil || u.Hostname() == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.Add(path, document.CodeBadURL, "not a URL such as http://127.0.0.1:8500")

		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.Add(path, document.CodeBadURL, "base URL has a user, a query or a fragment")
	}
}

func checkSeeds(c *document.Checker, seeds []netip.AddrPort) {
	if len(seeds) > MaxSeeds {
		c.Add("Seeds", document.CodeOutOfRange, "more than %d seeds", MaxSeeds)
	}
	first := map[netip.AddrPort]int{}
	for i, a := range seeds {
		path := document.Path("Seeds", i, "")
		c.Address(path, a)
		if k, ok := first[a]; ok && a.IsValid() {
			c.Add(path, document.CodeDuplicate, "address %v is already Seeds[%d]", a, k)

			continue
		}
		first[a] = i
	}
}

// checkKeys reports each invalid key. The reasons must not contain secrets.
func checkKeys(c *document.Checker, keys []keyring.Key) {
	if len(keys) == 0 {
		c.Add("Keys", document.CodeMissing, "%v", keyring.ErrNoKeys)
	}
	first := map[int]int{}
	for i, k := range keys {
		if n, ok := first[k.ID]; ok {
			c.Add(document.Path("Keys", i, "ID"), document.CodeDuplicate, "key identifier is already that of Keys[%d]", n)
		} else {
			first[k.ID] = i
		}
		_, err := keyring.New([]keyring.Key{k})
		switch {
		case err == nil:
		case errors.Is(err, keyring.ErrKeyID):
			c.Add(document.Path("Keys", i, "ID"), document.CodeBadKey, "%v", keyring.ErrKeyID)
		default:
			c.Add(document.Path("Keys", i, "Secret"), document.CodeBadKey, "%v", errors.Cause(err))
		}
	}
}
